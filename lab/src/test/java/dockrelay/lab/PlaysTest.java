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
class PlaysTest {
    /** A fake play result: why it is void, or null, and the rule it broke. */
    private record Play(String voidBecause, String broke) {
    }

    private final List<String> told = new ArrayList<>();
    private final Plays<Play> plays = new Plays<>(3, Play::voidBecause, told::add);

    @Test
    void voidPlayIsPlayedAgainAndSaidSo() throws Exception {
        Play good = new Play(null, "");
        Iterator<Play> some = List.of(new Play("n1 waited", "answered"), new Play("the lab was late", ""),
            good).iterator();
        assertSame(good, plays.play(some::next));
        assertEquals(List.of("n1 waited", "the lab was late"), plays.reasons());
        assertEquals(List.of("play 1 of at most 3 is void: n1 waited",
            "play 2 of at most 3 is void: the lab was late"), told);
    }

    @Test
    void validPlayThatBrokeARuleIsTheLast() throws Exception {
        Play bad = new Play(null, "answered");
        Iterator<Play> some = List.of(bad, new Play(null, "")).iterator();
        assertSame(bad, plays.play(some::next));
        assertEquals(List.of(), told);
    }

    @Test
    void whatNeverGetsValidFailsWithAllReasons() {
        List<Integer> count = new ArrayList<>();
        NeverValidException never = assertThrows(NeverValidException.class, () -> plays.play(() -> {
            count.add(1);
            if (count.size() == 2) {
                throw new VoidPlayException("1 of 4 proxies was not ready");
            }
            return new Play("reason " + count.size(), "");
        }));
        assertEquals(3, count.size());
        assertEquals(List.of("reason 1", "1 of 4 proxies was not ready", "reason 3"), never.reasons());
        assertEquals("none of 3 plays was valid: reason 1; 1 of 4 proxies was not ready; reason 3. Run "
            + "it again on a less loaded machine, or run a smaller experiment", never.getMessage());
    }

    @Test
    void failureThatIsNotTheMachinesIsNotPlayedAgain() {
        assertThrows(LabRun.FailedStart.class, () -> plays.play(() -> {
            throw new LabRun.FailedStart("exited during start");
        }));
        assertThrows(IOException.class, () -> plays.play(() -> {
            throw new IOException("disk full");
        }));
        assertEquals(List.of(), told);
    }
}
