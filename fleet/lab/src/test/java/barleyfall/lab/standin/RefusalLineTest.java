package barleyfall.lab.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which answers the lab takes for refusals. */
class RefusalLineTest {
    /** An unknown error line that begins like a refusal was judged as one. */
    @ParameterizedTest
    @CsvSource({"-BUSY, true", "-BUSY 500, true", "-BUSY inflight=1, true", "-BUSYKEY, false",
        "-BUSY500, false", "BUSY, false", "-ERR failed, false", ", false"})
    void wordThatBeginsLikeBusyIsNoRefusal(String answer, boolean refusal) {
        assertEquals(refusal, RefusalLine.isRefusal(answer));
    }
}
