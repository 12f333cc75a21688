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
    private static final long LEAST = 1_000;

    private final Plan plan;
    private final Experiment experiment;
    private final EmulatorNetwork net;
    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    private final FrontLoadBalancer front;
    private final OutcomeStatistics score;
    private final LatenessRecorder lateness;
    private int next;
    private long zero;
    private int inHand;

    public OpenLoopClients(Plan plan, EmulatorNetwork net, Clock clock, Referee referee, FrontLoadBalancer front, OutcomeStatistics score,
        LatenessRecorder lateness) {
        this.plan = plan;
        this.experiment = plan.experiment();
        this.net = net;
        this.loop = net.clientLoop();
        this.clock = clock;
        this.referee = referee;
        this.front = front;
        this.score = score;
        this.lateness = lateness;
    }

    /** Sends from this moment on. */
    public void start(long at) {
        zero = at;
        loop.execute(this::pump);
    }

    /** Sends what is due, then sleeps until the next is. */
    private void pump() {
        while (next < plan.arrivals().size()) {
            Arrival arrival = plan.arrivals().get(next);
            long wait = zero + arrival.at() - clock.nowMicros();
            if (wait > 0) {
                net.schedule(loop, wait, this::pump);
                return;
            }
            lateness.record(-wait);
            next++;
            new Request(arrival).send();
        }
    }

    /** Requests that are not over yet. */
    public int unfinishedRequestCount() {
        return loop.submit(() -> inHand + plan.arrivals().size() - next).syncUninterruptibly().getNow();
    }

    /** One client's request, over all its tries. */
    final class Request {
        private final Arrival arrival;
        private final ServiceClass type;
        private final long intended;
        private final RandomGenerator random;
        private int tries;
        private boolean crossed;

        Request(Arrival arrival) {
            this.arrival = arrival;
            this.type = experiment.classes().get(arrival.serviceClass());
            this.intended = zero + arrival.at();
            this.random = RandomStreams.stream(arrival.salt(), "client");
            inHand++;
        }

        private void send() {
            send(front.pick());
        }

        private void send(ClientConnection connection) {
            long now = clock.nowMicros();
            long left = intended + type.deadline() - now;
            long timeout = Math.min(left, Math.round(type.deadline() * arrival.tryShare()));
            if (timeout < LEAST) {
                finish(Outcome.FAILED, now - intended); // a wait ran out the time while it was late itself
                return;
            }
            if (connection == null) {
                tries++;
                again(Outcome.UNREACHABLE, true, 0);
                return;
            }
            boolean safe = type.idempotency() == Idempotency.IDEMPOTENT;
            String id = HexFormat.of().toHexDigits(RandomStreams.deriveSeed(arrival.salt(), "try " + tries));
            String content = safe ? "" : "order " + id + " for " + type.name() + "\n";
            ClientRequest one = new ClientRequest(id, safe ? "GET" : "POST", "/" + type.name() + "/"
                + (arrival.route().isEmpty() ? arrival.index() : arrival.route()),
                safe ? null : arrival.key(), content, arrival, connection.proxy(), now, timeout);
            referee.requestSent(one, tries == 0);
            tries++;
            connection.send(this, one, message(one));
            connection.deadline(net.schedule(loop, timeout + experiment.ruleLimits().responseSlack() + Referee.SOCKET_TOLERANCE_MICROS,
                () -> connection.overdue(one)));
        }

        private FullHttpRequest message(ClientRequest one) {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(one.method),
                one.path, Unpooled.copiedBuffer(one.body, StandardCharsets.UTF_8));
            message.headers().set(HttpHeaderNames.HOST, "app.svc").set("X-Request-ID", one.id)
                .set("X-Priority-Class", type.name())
                .set("X-Timeout", String.format(Locale.ROOT, "%.3f", one.timeoutMicros / 1e6));
            if (!arrival.tenant().isEmpty()) {
                message.headers().set("X-Tenant-Id", arrival.tenant());
            }
            if (one.idempotencyKey != null) {
                message.headers().set("Idempotency-Key", one.idempotencyKey);
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
            }
            return message;
        }

        /** The proxy could not be reached at all: nothing was taken. */
        void unreachable() {
            again(Outcome.UNREACHABLE, true, 0);
        }

        /** The connection ended without a whole answer. A request that nobody read may go once more. */
        void broke(ClientRequest one, boolean reused) {
            long now = clock.nowMicros();
            if (reused && !crossed && !referee.reachedBackend(one) && now < one.sentAtMicros + one.timeoutMicros) {
                crossed = true;
                tries--;
                send(front.fresh());
                return;
            }
            referee.responseMissing(one, now, "the connection ended without a whole answer after "
                + (now - one.sentAtMicros) / 1000 + " ms");
            again(Outcome.FAILED, false, 0);
        }

        /** No answer although the time and all slack are over. */
        void unanswered(ClientRequest one) {
            referee.responseMissing(one, clock.nowMicros(), "no answer within " + one.timeoutMicros / 1000 + " ms");
            again(Outcome.UNANSWERED, false, 0);
        }

        void answered(ClientRequest one, FullHttpResponse response) {
            long now = clock.nowMicros();
            int status = response.status().code();
            referee.responseReceived(one, now, status, response.content().toString(StandardCharsets.UTF_8));
            if (status == 200) {
                finish(now - intended <= type.latencyTarget() ? Outcome.IN_TIME : now - intended <= type.deadline()
                    ? Outcome.LATE
                    : Outcome.FAILED, now - intended);
                return;
            }
            boolean refused = status == 429 || status == 503;
            double after = 0;
            String advice = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            if (advice != null) {
                try {
                    after = Math.min(Double.parseDouble(advice) * 1e6, experiment.clients().maxRetryAfter());
                } catch (NumberFormatException e) {
                    after = 0; // a date, say: clients here heed seconds
                }
            }
            again(refused ? Outcome.REFUSED : Outcome.FAILED, refused, after);
        }

        /** Tries again where the client may and still has the time; else this was its end. */
        private void again(Outcome how, boolean harmless, double advice) {
            long now = clock.nowMicros();
            boolean may = harmless || type.idempotency() == Idempotency.IDEMPOTENT
                || type.idempotency() == Idempotency.DEDUPLICATED && type.dedupScope() == DedupScope.ALL
                    && now - intended < type.dedupWindow();
            double wait = experiment.clients().retryBackoff().draw(random) * (1 << Math.min(10, tries - 1));
            if (random.nextDouble() < experiment.clients().honourRetryAfterProbability()) {
                wait = Math.max(wait, advice);
            }
            if (may && tries <= arrival.retries() && now + wait < intended + type.deadline()) {
                net.schedule(loop, Math.round(wait), this::send);
            } else {
                finish(how, now - intended);
            }
        }

        private void finish(Outcome how, long latency) {
            inHand--;
            score.recordOutcome(arrival, how, latency, tries);
        }
    }
}
