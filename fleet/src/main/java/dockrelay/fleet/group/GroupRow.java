package dockrelay.fleet.group;

import dockrelay.fleet.Standing.Agreement;

/**
 * A group as an operator is told of it: what it said last of itself, how long ago at the most (below 0 where
 * it never did), whether that still counts and whether it goes by the same list; and the first of its members
 * that speak for it (null where that is not known).
 */
public record GroupRow(String label, int names, int present, int left, int gone, int counted,
                       Agreement agreement, long age, boolean fresh, boolean sameList, String speaker) {
}
