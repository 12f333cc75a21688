package dockrelay.proxy;

/** What each client of a crowd does with its connection. */
enum CrowdKind {
    /** Sends a head and a part of a long body, and then nothing. */
    HALF_BODY,
    /** Sends a head and then its long body in small pieces. */
    SLOW_BODY,
    /** Sends a chunked body of one-byte chunks. */
    TINY_CHUNKS,
    /** Sends a head without its end. */
    HALF_HEAD,
    /** Sends a head with more fields than are permitted. */
    TOO_MANY_FIELDS,
    /** Sends complete requests one after another. */
    WHOLE_REQUESTS,
    /** Sends many heads behind a request that is answered late. */
    PIPELINED,
    /** Reads a long answer slowly. */
    SLOW_READER,
    /** Asks for an answer whose head has many fields. */
    ANSWER_OF_MANY_FIELDS,
    /** Asks for a long answer in chunks of one byte. */
    ANSWER_OF_TINY_CHUNKS,
    /** Sends a request and leaves while the backend still works on it. */
    LEAVE_BEFORE_ANSWER
}
