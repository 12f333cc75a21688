package dockrelay.fleet;

import java.util.Locale;

/** What has become of a member in somebody's view, and by whose word. */
public record MemberStateChange(String member, MemberState previousState, MemberState newState, String by, long incarnation,
    boolean restarted) {
    @Override
    public String toString() {
        return member + " is " + newState.name().toLowerCase(Locale.ROOT) + (restarted
            ? ", started anew"
            : "") + ", was " + previousState.name().toLowerCase(Locale.ROOT) + ", by " + by
            + ", incarnation " + incarnation;
    }
}
