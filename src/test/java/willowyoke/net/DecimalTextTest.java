package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the numbers that peers send. */
class DecimalTextTest {
    @ParameterizedTest
    @CsvSource({"480, 480", "-2.5, -2.5", "5e+1, 50", "+.5, 0.5", "5., 5", "1E-2, 0.01", "007, 7"})
    void parsesDecimalNumber(String text, double value) {
        assertEquals(value, DecimalText.parse(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "NaN", "Infinity", "0x1", "1f", "1d", " 1", "1 ", "1.2.3", "--1", "e5", "1e",
        "1e5e5", "1e1.5", ".", "+", "1e999", "1e99999999999"})
    void rejectsAnythingElse(String text) {
        assertTrue(Double.isNaN(DecimalText.parse(text)), text);
    }

    /** The time for a number grew with the square of its digits and held up the event loop. */
    @Test
    @Timeout(value = 20, unit = TimeUnit.SECONDS)
    void longNumbersTakeTimeByTheirLength() {
        String digits = "7".repeat(64_000);
        for (int i = 0; i < 500; i++) {
            DecimalText.parse(digits);
            DecimalText.parse("0." + digits);
            DecimalText.parse("1e" + digits);
            DecimalText.parse("1e-" + digits);
        }
    }
}
