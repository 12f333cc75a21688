package dockrelay.lab.referee;

/** What a proxy must keep, as seen from outside. */
public enum Rule {
    /** Each request taken gets one whole final answer, in time. */
    ANSWERED,
    /** What is served is what a node made for that request. */
    BODY,
    /** Nothing reaches a node that no client sent in this form. */
    FOREIGN,
    /** No repeat beyond what the class allows. */
    REPEAT,
    /** A refusal promises that trying again is harmless. */
    REFUSAL,
    /** No more attempts, and no second copies, than the settings allow. */
    ATTEMPTS,
    /** Nothing new to a node that drains or is gone, after the grace. */
    DRAIN,
    /** No cold node is pushed over by all proxies together. */
    COLD,
    /** Copies, hedges and retries of all proxies together stay within the fleet's budget. */
    BUDGET,
    /** The process stays within its memory. */
    MEMORY,
    /** The process stays within its descriptors. */
    DESCRIPTORS,
    /** The process ends only when it is told to. */
    CRASH
}
