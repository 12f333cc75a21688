package dockrelay.fleet;

/** What a member is to another one. */
public enum MemberState {
    /** Named by the configuration and not heard of yet; of itself: nobody has answered yet. */
    JOINING,
    PRESENT,
    /** Did not answer a probe, neither directly nor through helpers; it may still counter that. */
    SUSPECT,
    /** Declared dead. */
    GONE,
    /** Said goodbye. */
    LEFT;

    /** Whether nobody counts on it. */
    public boolean away() {
        return this == GONE || this == LEFT;
    }
}
