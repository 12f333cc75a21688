package dockrelay.lab.referee;

/** The rules that a proxy must keep, each verifiable from outside its process. */
public enum Rule {
    /** Each accepted request gets exactly one complete final response before its deadline. */
    ANSWERED,
    /** The body of a successful response was produced by a backend for that request. */
    BODY,
    /** Every request at a backend was sent by a client, and arrives unmodified. */
    FOREIGN,
    /** A request is repeated only where its service class allows it. */
    REPEAT,
    /** A rejection (429 or 503) implies that the client may safely retry. */
    REFUSAL,
    /** Attempts per request and redundant attempts stay within the settings. */
    ATTEMPTS,
    /** No new request goes to a draining or removed backend after the grace period. */
    DRAIN,
    /** The proxies together do not overload a cold backend until it collapses. */
    COLD,
    /** Redundant attempts, hedges and retries of all proxies together stay within the fleet's budget. */
    BUDGET,
    /** The process stays within its memory limit. */
    MEMORY,
    /** The process stays within its limit of open file descriptors. */
    DESCRIPTORS,
    /** The process exits only when it is signalled to. */
    CRASH
}
