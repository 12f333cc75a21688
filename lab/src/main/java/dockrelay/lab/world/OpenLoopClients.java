package dockrelay.lab.world;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Arrival;
import dockrelay.lab.plan.RandomStreams;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.referee.ClientRequest;
import dockrelay.lab.report.OutcomeStatistics;
import dockrelay.lab.report.OutcomeStatistics.Outcome;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Experiment.Idempotency;
import dockrelay.lab.spec.Experiment.DedupScope;
import dockrelay.lab.spec.Experiment.ServiceClass;
import dockrelay.lab.starvation.LatenessRecorder;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Open-loop clients: each request leaves at its planned time whatever became of the others, and its time
 * counts from
 * then. One loop's thread owns them.
 */
public final class OpenLoopClients {
    /** A client that has less time than this left does not try again. */
    private static final long MIN_TRY_MICROS = 1_000;

    private final Plan plan;
    private final Experiment experiment;
    private final EmulatorNetwork network;
    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    private final FrontLoadBalancer loadBalancer;
    private final OutcomeStatistics statistics;
    private final LatenessRecorder lateness;
    private int nextArrivalIndex;
    private long loadStart;
    private int inFlightRequests;

    public OpenLoopClients(Plan plan, EmulatorNetwork network, Clock clock, Referee referee,
        FrontLoadBalancer loadBalancer, OutcomeStatistics statistics,
        LatenessRecorder lateness) {
        this.plan = plan;
        this.experiment = plan.experiment();
        this.network = network;
        this.loop = network.clientLoop();
        this.clock = clock;
        this.referee = referee;
        this.loadBalancer = loadBalancer;
        this.statistics = statistics;
        this.lateness = lateness;
    }

    /** Sends from this moment on. */
    public void start(long startAt) {
        loadStart = startAt;
        loop.execute(this::sendDueRequests);
    }

    /** Sends what is due, then sleeps until the next is. */
    private void sendDueRequests() {
        while (nextArrivalIndex < plan.arrivals().size()) {
            Arrival arrival = plan.arrivals().get(nextArrivalIndex);
            long delayMicros = loadStart + arrival.at() - clock.nowMicros();
            if (delayMicros > 0) {
                network.schedule(loop, delayMicros, this::sendDueRequests);
                return;
            }
            lateness.record(-delayMicros);
            nextArrivalIndex++;
            new PlannedRequest(arrival).send();
        }
    }

    /** Requests that are not over yet. */
    public int unfinishedRequestCount() {
        return loop.submit(() -> inFlightRequests + plan.arrivals().size() - nextArrivalIndex)
            .syncUninterruptibly().getNow();
    }

    /** One client's request, over all its tries. */
    final class PlannedRequest {
        private final Arrival arrival;
        private final ServiceClass serviceClass;
        private final long plannedAt;
        private final RandomGenerator random;
        private int tryCount;
        private boolean resentOnNewConnection;

        PlannedRequest(Arrival arrival) {
            this.arrival = arrival;
            this.serviceClass = experiment.classes().get(arrival.serviceClass());
            this.plannedAt = loadStart + arrival.at();
            this.random = RandomStreams.stream(arrival.salt(), "client");
            inFlightRequests++;
        }

        private void send() {
            send(loadBalancer.acquire());
        }

        private void send(ClientConnection connection) {
            long now = clock.nowMicros();
            long remaining = plannedAt + serviceClass.deadline() - now;
            long timeoutMicros = Math.min(remaining,
                Math.round(serviceClass.deadline() * arrival.tryShare()));
            if (timeoutMicros < MIN_TRY_MICROS) {
                finish(Outcome.FAILED, now - plannedAt); // a wait ran out the time while it was late itself
                return;
            }
            if (connection == null) {
                tryCount++;
                retryOrFinish(Outcome.UNREACHABLE, true, 0);
                return;
            }
            boolean idempotent = serviceClass.idempotency() == Idempotency.IDEMPOTENT;
            String requestId = HexFormat.of()
                .toHexDigits(RandomStreams.deriveSeed(arrival.salt(), "try " + tryCount));
            String body = idempotent ? "" : "order " + requestId + " for " + serviceClass.name() + "\n";
            ClientRequest newTry =
                new ClientRequest(requestId, idempotent ? "GET" : "POST", "/" + serviceClass.name() + "/"
                + (arrival.route().isEmpty() ? arrival.index() : arrival.route()),
                idempotent ? null : arrival.key(), body, arrival, connection.proxy(), now, timeoutMicros);
            referee.requestSent(newTry, tryCount == 0);
            tryCount++;
            connection.send(this, newTry, toHttpRequest(newTry));
            connection.setDeadlineTimer(network.schedule(loop, timeoutMicros + experiment.ruleLimits()
                .responseSlack() + Referee.SOCKET_TOLERANCE_MICROS,
                () -> connection.onDeadline(newTry)));
        }

        private FullHttpRequest toHttpRequest(ClientRequest currentTry) {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(currentTry.method),
                currentTry.path, Unpooled.copiedBuffer(currentTry.body, StandardCharsets.UTF_8));
            message.headers().set(HttpHeaderNames.HOST, "app.svc").set("X-Request-ID", currentTry.id)
                .set("X-Priority-Class", serviceClass.name())
                .set("X-Timeout", String.format(Locale.ROOT, "%.3f", currentTry.timeoutMicros / 1e6));
            if (!arrival.tenant().isEmpty()) {
                message.headers().set("X-Tenant-Id", arrival.tenant());
            }
            if (currentTry.idempotencyKey != null) {
                message.headers().set("Idempotency-Key", currentTry.idempotencyKey);
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
            }
            return message;
        }

        /** The proxy could not be reached at all: nothing was taken. */
        void onUnreachable() {
            retryOrFinish(Outcome.UNREACHABLE, true, 0);
        }

        /** The connection ended without a whole answer. A request that nobody read may go once more. */
        void onConnectionClosed(ClientRequest currentTry, boolean reused) {
            long now = clock.nowMicros();
            if (reused && !resentOnNewConnection && !referee.reachedBackend(currentTry)
                && now < currentTry.sentAtMicros + currentTry.timeoutMicros) {
                resentOnNewConnection = true;
                tryCount--;
                send(loadBalancer.openConnection());
                return;
            }
            referee.responseMissing(currentTry, now, "the connection ended without a whole answer after "
                + (now - currentTry.sentAtMicros) / 1000 + " ms");
            retryOrFinish(Outcome.FAILED, false, 0);
        }

        /** No answer although the time and all slack are over. */
        void onTimeout(ClientRequest currentTry) {
            referee.responseMissing(currentTry, clock.nowMicros(), "no answer within "
                + currentTry.timeoutMicros / 1000 + " ms");
            retryOrFinish(Outcome.UNANSWERED, false, 0);
        }

        void onResponse(ClientRequest currentTry, FullHttpResponse response) {
            long now = clock.nowMicros();
            int status = response.status().code();
            referee.responseReceived(currentTry, now, status, response.content()
                .toString(StandardCharsets.UTF_8));
            if (status == 200) {
                finish(now - plannedAt <= serviceClass.latencyTarget() ? Outcome.IN_TIME
                    : now - plannedAt <= serviceClass.deadline()
                    ? Outcome.LATE
                    : Outcome.FAILED, now - plannedAt);
                return;
            }
            boolean rejected = status == 429 || status == 503;
            double retryAfterMicros = 0;
            String retryAfterHeader = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            if (retryAfterHeader != null) {
                try {
                    retryAfterMicros = Math.min(Double.parseDouble(retryAfterHeader) * 1e6,
                        experiment.clients().maxRetryAfter());
                } catch (NumberFormatException e) {
                    retryAfterMicros = 0; // a date, say: clients here heed seconds
                }
            }
            retryOrFinish(rejected ? Outcome.REFUSED : Outcome.FAILED, rejected, retryAfterMicros);
        }

        /** Tries again where the client may and still has the time; else this was its end. */
        private void retryOrFinish(Outcome outcome, boolean notExecuted, double retryAfterMicros) {
            long now = clock.nowMicros();
            boolean mayRetry = notExecuted || serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || serviceClass.idempotency() == Idempotency.DEDUPLICATED
                    && serviceClass.dedupScope() == DedupScope.ALL
                    && now - plannedAt < serviceClass.dedupWindow();
            double delayMicros = experiment.clients().retryBackoff()
                .draw(random) * (1 << Math.min(10, tryCount - 1));
            if (random.nextDouble() < experiment.clients().honourRetryAfterProbability()) {
                delayMicros = Math.max(delayMicros, retryAfterMicros);
            }
            if (mayRetry && tryCount <= arrival.retries() && now + delayMicros < plannedAt
                + serviceClass.deadline()) {
                network.schedule(loop, Math.round(delayMicros), this::send);
            } else {
                finish(outcome, now - plannedAt);
            }
        }

        private void finish(Outcome outcome, long latencyMicros) {
            inFlightRequests--;
            statistics.recordOutcome(arrival, outcome, latencyMicros, tryCount);
        }
    }
}
