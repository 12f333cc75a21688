package dockrelay.fleet.group;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** The queries that may still be answered. */
final class Questions {
    private final Rhythm rhythm;
    private final Map<Integer, Question> open = new HashMap<>();
    /**
     * In the order in which they were sent, which is also the order of their time-outs and of their expiry.
     */
    private final Deque<Question> waiting = new ArrayDeque<>(), kept = new ArrayDeque<>();
    private int sequence;

    Questions(Rhythm rhythm, Random random) {
        this.rhythm = rhythm;
        this.sequence = random.nextInt();
    }

    Question ask(long now, Message.Kind kind, String to, int group, Finder.Search search) {
        Question question = new Question(++sequence, kind, to, group, search, now, now + rhythm.retry());
        open.put(question.sequence, question);
        waiting.add(question);
        kept.add(question);
        return question;
    }

    /** Returns and removes the query that a reply matches; null if there is none or it has expired. */
    Question answered(int number, String from, Message.Kind kind) {
        Question question = open.get(number);
        if (question == null || !question.to.equals(from) || question.kind != kind) {
            return null;
        }
        open.remove(number);
        question.answered = true;
        return question;
    }

    /** Returns the next query that timed out, or null. A reply to it is still accepted until it expires. */
    Question failed(long now) {
        while (!kept.isEmpty() && now - kept.peek().at >= rhythm.forgotten()) {
            open.remove(kept.poll().sequence);
        }
        while (!waiting.isEmpty() && (waiting.peek().answered || waiting.peek().failAt <= now)) {
            Question question = waiting.poll();
            if (!question.answered) {
                return question;
            }
        }
        return null;
    }

    long nextAt() {
        while (!waiting.isEmpty() && waiting.peek().answered) {
            waiting.poll();
        }
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.peek().failAt;
    }

    /** Extends the time-outs by a time in which this process did not run. */
    void delay(long by) {
        waiting.forEach(question -> question.failAt += by);
    }
}
