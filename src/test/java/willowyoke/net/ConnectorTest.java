package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import org.junit.jupiter.api.Test;

/** Failures of this machine are told from those of the other side, whatever the language of the texts. */
class ConnectorTest {
    @Test void failuresOfTheOtherSideAreNoLocalOnes() {
        assertFalse(Connector.isLocalFailure(new ConnectTimeoutException("after 250 ms")));
        assertFalse(Connector.isLocalFailure(
            new ConnectException("finishConnect(..) failed with error(-111): Verbindungsaufbau abgelehnt")));
        assertFalse(Connector.isLocalFailure(new ConnectException("connect(..) failed with error(-104): x")));
        assertFalse(Connector.isLocalFailure(new ConnectException("Connection refused")));
    }

    @Test void failuresOfThisMachineAreLocal() {
        assertTrue(Connector.isLocalFailure(new ConnectException("connect(..) failed with error(-99): x")));
        assertTrue(Connector.isLocalFailure(new NoRouteToHostException()));
        assertTrue(Connector.isLocalFailure(new ChannelException("Unable to create Channel")));
        assertTrue(Connector.isLocalFailure(new ConnectException()));
    }
}
