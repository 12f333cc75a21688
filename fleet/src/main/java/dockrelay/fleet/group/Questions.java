package dockrelay.fleet.group;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** Those asked that an answer may still come to. */
final class Questions {
    private final Rhythm rhythm;
    private final Map<Integer, Question> open = new HashMap<>();
    /** In the order of their asking, which is that in which they fail and in which they are forgotten. */
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

    /** What this answers; null where nobody of that name was asked that, or too long ago. */
    Question answered(int number, String from, Message.Kind kind) {
        Question question = open.get(number);
        if (question == null || !question.to.equals(from) || question.kind != kind) {
            return null;
        }
        open.remove(number);
        question.answered = true;
        return question;
    }

    /** The next one without an answer in time; null where there is none. Its answer may still come. */
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

    /** Time in which this process did not run is nobody's silence. */
    void delay(long by) {
        waiting.forEach(question -> question.failAt += by);
    }
}
