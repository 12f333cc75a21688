package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;
import java.util.Collection;
import java.util.Random;
import java.util.Set;

/** Faulty versions of the budget protocol, each with one bug that the random schedules have to detect. */
enum BrokenBudgets implements BudgetWorld.Maker {
    /** A reduced share counts as free before its holder has confirmed the reduction. */
    GIVER_DOES_NOT_WAIT(0) {
        @Override
        Ledger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
            return new Ledger(of, term, at, now) {
                @Override
                void told(Account account, Lent lent, long rate, long burst) {
                    account.set(lent, rate, burst);
                }
            };
        }
    },
    /** Leases do not expire. */
    LEASE_WITHOUT_END(0) {
        @Override
        long leaseEnd(long now, long sentAt, BudgetTiming at) {
            return now + 1000 * at.lease();
        }
    },
    /** A lease counts from the arrival of the grant instead of the sending of the request. */
    LEASE_FROM_ARRIVAL(8900) {
        @Override
        long leaseEnd(long now, long sentAt, BudgetTiming at) {
            return now + at.lease();
        }
    },
    /** The burst is not divided: each process has all of it. */
    BURST_NOT_COUNTED(0) {
        @Override
        Ledger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
            return new Ledger(of, term, at, now) {
                @Override
                long freeBurst(Account account) {
                    return account.whole.burst();
                }

                @Override
                long burst(Account account, long rate) {
                    return account.whole.burst();
                }
            };
        }
    },
    /** A new coordinator treats shares that have not been reported to it yet as free. */
    UNKNOWN_IS_FREE(0) {
        @Override
        Ledger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
            return new Ledger(of, term, at, now - at.leaseOver());
        }
    },
    /** A change of the voter set needs a quorum of the new set only. */
    NEW_LIST_ALONE(700) {
        @Override
        Authority authority(int id, int life, BudgetTiming at, Voter of, MemberList names, Random by,
                            Authority.Sender sender, long now) {
            return new Authority(id, life, at, of, names, by, sender, now) {
                @Override
                boolean enough(Set<Integer> said, Agreed list, Agreed change, Set<Integer> but) {
                    return change == null ? list.quorum(said, but) : change.quorum(said, but);
                }
            };
        }
    },
    /** Any half of the voter set is a quorum, so that two disjoint quorums exist. */
    HALF_IS_ENOUGH(0) {
        @Override
        Authority authority(int id, int life, BudgetTiming at, Voter of, MemberList names, Random by,
                            Authority.Sender sender, long now) {
            return new Authority(id, life, at, of, names, by, sender, now) {
                @Override
                boolean enough(Set<Integer> said, Agreed list, Agreed change, Set<Integer> but) {
                    return 2 * list.ids().length <= 4 * said.size();
                }
            };
        }
    };

    /** The first seed to try; the bug is known to show up soon after it. */
    final long from;

    BrokenBudgets(long from) {
        this.from = from;
    }

    Voter voter(int id, int life, BudgetTiming at, long now) {
        return new Voter(id, life, at, now);
    }

    Authority authority(int id, int life, BudgetTiming at, Voter of, MemberList names, Random by,
                        Authority.Sender sender, long now) {
        return new Authority(id, life, at, of, names, by, sender, now);
    }

    Ledger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
        return new Ledger(of, term, at, now);
    }

    long leaseEnd(long now, long sentAt, BudgetTiming at) {
        return sentAt + at.leaseRelied();
    }

    @Override
    public BudgetNode make(String self, Collection<String> names, Collection<Budget> budgets, int life, Random
        random,
                        BudgetNode.Callbacks actions, long now) {
        BrokenBudgets broken = this;
        return new BudgetNode(self, names, budgets, life, BudgetTiming.DEFAULT, random, actions, now) {
            @Override
            Voter voter(int id, int ofLife, BudgetTiming at, long from) {
                return broken.voter(id, ofLife, at, from);
            }

            @Override
            Authority authority(int id, int ofLife, BudgetTiming at, Voter of, MemberList roster, Random by,
                                Authority.Sender sender, long from) {
                return broken.authority(id, ofLife, at, of, roster, by, sender, from);
            }

            @Override
            Ledger ledger(Collection<Budget> of, long term, BudgetTiming at, long from) {
                return broken.ledger(of, term, at, from);
            }

            @Override
            Holder holder(int id, int ofLife, BudgetTiming at, Collection<Budget> of, long from) {
                return new Holder(id, ofLife, at, of, from) {
                    @Override
                    long leaseEnd(long here, long sentAt) {
                        return broken.leaseEnd(here, sentAt, at);
                    }
                };
            }
        };
    }
}
