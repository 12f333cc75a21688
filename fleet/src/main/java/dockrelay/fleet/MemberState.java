package dockrelay.fleet;

/** The state of a member in another member's view. */
public enum MemberState {
    /** Configured, but nothing received from or about it yet; for the member itself: no peer answered yet. */
    JOINING,
    PRESENT,
    /** Answered neither a direct nor an indirect probe; it may still refute that. */
    SUSPECT,
    /** Declared dead. */
    GONE,
    /** Announced that it leaves the fleet. */
    LEFT;

    /** Whether the member does not take part: it is gone or has left. */
    public boolean isAbsent() {
        return this == GONE || this == LEFT;
    }
}
