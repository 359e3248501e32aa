package willowyoke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangupTest {
    /** Where it is not handled, the signal ends this JVM and the test run with it. */
    @Test void theSignalIsTakenAndTheProgramGoesOn() throws Exception {
        CountDownLatch taken = new CountDownLatch(2);
        Hangup.handle(taken::countDown);
        for (long left = 2; left > 0; left--) { // one at a time, as two pending ones may become one
            String pid = Long.toString(ProcessHandle.current().pid());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            for (int i = 0; i < 1000 && taken.getCount() >= left; i++) {
                Thread.sleep(10);
            }
        }
        assertTrue(taken.await(10, TimeUnit.SECONDS));
    }
}
