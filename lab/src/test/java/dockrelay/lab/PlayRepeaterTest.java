package dockrelay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Void plays are repeated up to the maximum; valid plays and failures are not. */
class PlayRepeaterTest {
    /** A fake play result: why it is void, or null, and the rule it broke. */
    private record Play(String voidReason, String brokenRule) {
    }

    private final List<String> messages = new ArrayList<>();
    private final PlayRepeater<Play> repeater = new PlayRepeater<>(3, Play::voidReason, messages::add);

    @Test
    void voidPlayIsRepeatedAndReported() throws Exception {
        Play validPlay = new Play(null, "");
        Iterator<Play> results = List.of(new Play("n1 waited", "answered"), new Play("the lab was late", ""),
            validPlay).iterator();
        assertSame(validPlay, repeater.playUntilValid(results::next));
        assertEquals(List.of("n1 waited", "the lab was late"), repeater.voidReasons());
        assertEquals(List.of("play 1 of at most 3 is void: n1 waited",
            "play 2 of at most 3 is void: the lab was late"), messages);
    }

    @Test
    void validPlayThatBreaksARuleIsNotRepeated() throws Exception {
        Play ruleBreakingPlay = new Play(null, "answered");
        Iterator<Play> results = List.of(ruleBreakingPlay, new Play(null, "")).iterator();
        assertSame(ruleBreakingPlay, repeater.playUntilValid(results::next));
        assertEquals(List.of(), messages);
    }

    @Test
    void failsWithAllReasonsIfNoPlayIsValid() {
        List<Integer> calls = new ArrayList<>();
        NoValidPlayException exception = assertThrows(NoValidPlayException.class, () ->
            repeater.playUntilValid(() -> {
            calls.add(1);
            if (calls.size() == 2) {
                throw new VoidPlayException("1 of 4 proxies was not ready");
            }
            return new Play("reason " + calls.size(), "");
        }));
        assertEquals(3, calls.size());
        assertEquals(List.of("reason 1", "1 of 4 proxies was not ready", "reason 3"),
            exception.voidReasons());
        assertEquals("none of 3 plays was valid: reason 1; 1 of 4 proxies was not ready; reason 3. Run "
            + "it again on a less loaded machine, or run a smaller experiment", exception.getMessage());
    }

    @Test
    void failuresAreNotRepeated() {
        assertThrows(LabRun.ProxyStartException.class, () -> repeater.playUntilValid(() -> {
            throw new LabRun.ProxyStartException("exited during start");
        }));
        assertThrows(IOException.class, () -> repeater.playUntilValid(() -> {
            throw new IOException("disk full");
        }));
        assertEquals(List.of(), messages);
    }
}
