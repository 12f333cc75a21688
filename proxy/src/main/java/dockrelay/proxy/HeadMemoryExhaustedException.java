package dockrelay.proxy;

/**
 * The heads of all clients together fill their share of the memory, so that a further one is not read. Its
 * request has not been forwarded and may be sent again; more memory or fewer connections raise the limit.
 */
final class HeadMemoryExhaustedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    HeadMemoryExhaustedException(long limitBytes) {
        super("the heads of all clients exceed their share of the heap, " + limitBytes + " bytes");
    }
}
