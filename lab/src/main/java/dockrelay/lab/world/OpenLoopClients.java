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
 * Open-loop clients: each request is sent at its planned time regardless of the others' progress, and its
 * latency counts from that time. Owned by the client event loop.
 */
public final class OpenLoopClients {
    /** A client does not send a try with a shorter timeout than this. */
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
        FrontLoadBalancer loadBalancer, OutcomeStatistics statistics, LatenessRecorder lateness) {
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

    /** Starts sending; planned times count from the given time. */
    public void start(long startAt) {
        loadStart = startAt;
        loop.execute(this::sendDueRequests);
    }

    /** Sends all requests that are due, then schedules itself for the next one. */
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

    /**
     * Returns the number of planned requests that have not ended yet, including those not sent yet. Must not
     * be called on the client event loop.
     */
    public int unfinishedRequestCount() {
        return loop.submit(() -> inFlightRequests + plan.arrivals().size() - nextArrivalIndex)
            .syncUninterruptibly().getNow();
    }

    /** One client's request, across all its tries. */
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
                // The backoff timer fired late, after the remaining time had run out.
                finish(Outcome.FAILED, now - plannedAt);
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
            ClientRequest newTry = new ClientRequest(requestId, idempotent ? "GET" : "POST",
                "/" + serviceClass.name() + "/"
                    + (arrival.route().isEmpty() ? arrival.index() : arrival.route()),
                idempotent ? null : arrival.key(), body, arrival, connection.proxy(), now, timeoutMicros);
            referee.requestSent(newTry, tryCount == 0);
            tryCount++;
            connection.send(this, newTry, toHttpRequest(newTry));
            connection.setDeadlineTimer(network.schedule(loop,
                timeoutMicros + experiment.ruleLimits().responseSlack() + Referee.SOCKET_TOLERANCE_MICROS,
                () -> connection.onDeadline(newTry)));
        }

        private FullHttpRequest toHttpRequest(ClientRequest currentTry) {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(currentTry.method), currentTry.path,
                Unpooled.copiedBuffer(currentTry.body, StandardCharsets.UTF_8));
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

        /** The connection to the proxy failed, so nothing was sent and a further try is safe. */
        void onUnreachable() {
            retryOrFinish(Outcome.UNREACHABLE, true, 0);
        }

        /**
         * The connection closed before a complete response. A request on a reused connection may have crossed
         * the proxy's idle close; if it reached no backend it is sent once more on a new connection.
         */
        void onConnectionClosed(ClientRequest currentTry, boolean reused) {
            long now = clock.nowMicros();
            if (reused && !resentOnNewConnection && !referee.reachedBackend(currentTry)
                && now < currentTry.sentAtMicros + currentTry.timeoutMicros) {
                resentOnNewConnection = true;
                tryCount--;
                send(loadBalancer.openConnection());
                return;
            }
            referee.responseMissing(currentTry, now, "connection closed before a complete response, after "
                + (now - currentTry.sentAtMicros) / 1000 + " ms");
            retryOrFinish(Outcome.FAILED, false, 0);
        }

        /** The response did not arrive within the timeout and the slack allowed on top of it. */
        void onTimeout(ClientRequest currentTry) {
            referee.responseMissing(currentTry, clock.nowMicros(), "no response within "
                + currentTry.timeoutMicros / 1000 + " ms");
            retryOrFinish(Outcome.UNANSWERED, false, 0);
        }

        void onResponse(ClientRequest currentTry, FullHttpResponse response) {
            long now = clock.nowMicros();
            int status = response.status().code();
            referee.responseReceived(currentTry, now, status,
                response.content().toString(StandardCharsets.UTF_8));
            if (status == 200) {
                finish(now - plannedAt <= serviceClass.latencyTarget() ? Outcome.IN_TIME
                    : now - plannedAt <= serviceClass.deadline()
                    ? Outcome.LATE : Outcome.FAILED, now - plannedAt);
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
                    retryAfterMicros = 0; // an HTTP date: these clients support only seconds
                }
            }
            retryOrFinish(rejected ? Outcome.REFUSED : Outcome.FAILED, rejected, retryAfterMicros);
        }

        /**
         * Schedules another try after a backoff if the request's semantics, retry limit and deadline allow
         * it; else ends the request.
         */
        private void retryOrFinish(Outcome outcome, boolean notExecuted, double retryAfterMicros) {
            long now = clock.nowMicros();
            boolean mayRetry = notExecuted || serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || serviceClass.idempotency() == Idempotency.DEDUPLICATED
                    && serviceClass.dedupScope() == DedupScope.ALL
                    && now - plannedAt < serviceClass.dedupWindow();
            double delayMicros = experiment.clients().retryBackoff().draw(random)
                * (1 << Math.min(10, tryCount - 1));
            if (random.nextDouble() < experiment.clients().honourRetryAfterProbability()) {
                delayMicros = Math.max(delayMicros, retryAfterMicros);
            }
            if (mayRetry && tryCount <= arrival.retries()
                && now + delayMicros < plannedAt + serviceClass.deadline()) {
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
