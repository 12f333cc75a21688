package dockrelay.fleet.group;

import dockrelay.fleet.ProtocolTiming;

/** How often groups ask each other and how long an answer tells something, in microseconds. */
record Rhythm(ProtocolTiming pace) {
    /** Between two questions for the same thing. */
    long round() {
        return 5 * pace.period();
    }

    /** A member asks a speaker for what is new of all groups so often. */
    long table() {
        return round() * 3 / 4;
    }

    /**
     * Speakers join their parts, and ask a group in which something is going on, so often: all else that a
     * group learns of others waits for these.
     */
    long soon() {
        return round() / 2;
    }

    /** For so long after it changed a group that does not agree is asked sooner: it may never agree. */
    long unsettled() {
        return stale();
    }

    /** A member whose speaker knows nothing younger asks another one: by then most count out who is lost. */
    long missed() {
        return stale() + round();
    }

    /** A member that found its speaker wanting comes back to it after this. */
    long aside() {
        return 8 * table();
    }

    /** Without an answer for this long another one is asked. */
    long retry() {
        return 2 * pace.period();
    }

    /** Another speaker asks for a group of which it holds nothing younger: whose part it is may be dead. */
    long late() {
        return 9 * pace.period();
    }

    /** A group of which speakers hold nothing younger is silent to them: asked for by all, and said so. */
    long silent() {
        return 12 * pace.period();
    }

    /** Past this age a summary counts for nothing. */
    long stale() {
        return pace.wordStale();
    }

    /** A minority's word does not take the place of another's that is younger than this. */
    long retained() {
        return 8 * pace.period();
    }

    /** A group that was never heard of is not silent before this. */
    long unheard() {
        return 50 * pace.period();
    }

    /** An answer later than this is not waited for. */
    long forgotten() {
        return stale();
    }

    /** What an age is told in, where there is one byte for it. */
    long unit() {
        return pace.period() / 10;
    }
}
