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
        LeaseLedger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
            return new LeaseLedger(of, term, at, now) {
                @Override
                void recordGrant(BudgetAccount account, Lease lent, long rate, long burst) {
                    account.setLease(lent, rate, burst);
                }
            };
        }
    },
    /** Leases do not expire. */
    LEASE_WITHOUT_END(0) {
        @Override
        long leaseEnd(long now, long sentAt, BudgetTiming at) {
            return now + 1000 * at.leaseDuration();
        }
    },
    /** A lease counts from the arrival of the grant instead of the sending of the request. */
    LEASE_FROM_ARRIVAL(8900) {
        @Override
        long leaseEnd(long now, long sentAt, BudgetTiming at) {
            return now + at.leaseDuration();
        }
    },
    /** The burst is not divided: each process has all of it. */
    BURST_NOT_COUNTED(0) {
        @Override
        LeaseLedger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
            return new LeaseLedger(of, term, at, now) {
                @Override
                long freeBurst(BudgetAccount account) {
                    return account.budget.burst();
                }

                @Override
                long burstFor(BudgetAccount account, long rate) {
                    return account.budget.burst();
                }
            };
        }
    },
    /** A new coordinator treats shares that have not been reported to it yet as free. */
    UNKNOWN_IS_FREE(0) {
        @Override
        LeaseLedger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
            return new LeaseLedger(of, term, at, now - at.maxLeaseDuration());
        }
    },
    /** A change of the voter set needs a quorum of the new set only. */
    NEW_LIST_ALONE(700) {
        @Override
        CoordinatorElection authority(int id, int life, BudgetTiming at, Voter of, MemberList names, Random by,
                            CoordinatorElection.Sender sender, long now) {
            return new CoordinatorElection(id, life, at, of, names, by, sender, now) {
                @Override
                boolean hasQuorum(Set<Integer> said, VoterSet list, VoterSet change, Set<Integer> but) {
                    return change == null ? list.isQuorum(said, but) : change.isQuorum(said, but);
                }
            };
        }
    },
    /** Any half of the voter set is a quorum, so that two disjoint quorums exist. */
    HALF_IS_ENOUGH(0) {
        @Override
        CoordinatorElection authority(int id, int life, BudgetTiming at, Voter of, MemberList names, Random by,
                            CoordinatorElection.Sender sender, long now) {
            return new CoordinatorElection(id, life, at, of, names, by, sender, now) {
                @Override
                boolean hasQuorum(Set<Integer> said, VoterSet list, VoterSet change, Set<Integer> but) {
                    return 2 * list.memberIds().length <= 4 * said.size();
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

    CoordinatorElection authority(int id, int life, BudgetTiming at, Voter of, MemberList names, Random by,
                        CoordinatorElection.Sender sender, long now) {
        return new CoordinatorElection(id, life, at, of, names, by, sender, now);
    }

    LeaseLedger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
        return new LeaseLedger(of, term, at, now);
    }

    long leaseEnd(long now, long sentAt, BudgetTiming at) {
        return sentAt + at.reliedLeaseDuration();
    }

    @Override
    public BudgetNode make(String self, Collection<String> names, Collection<Budget> budgets, int life, Random
        random,
                        BudgetNode.Callbacks actions, long now) {
        BrokenBudgets broken = this;
        return new BudgetNode(self, names, budgets, life, BudgetTiming.DEFAULT, random, actions, now) {
            @Override
            Voter newVoter(int id, int ofLife, BudgetTiming at, long from) {
                return broken.voter(id, ofLife, at, from);
            }

            @Override
            CoordinatorElection newElection(int id, int ofLife, BudgetTiming at, Voter of, MemberList roster, Random by,
                                CoordinatorElection.Sender sender, long from) {
                return broken.authority(id, ofLife, at, of, roster, by, sender, from);
            }

            @Override
            LeaseLedger newLedger(Collection<Budget> of, long term, BudgetTiming at, long from) {
                return broken.ledger(of, term, at, from);
            }

            @Override
            LeaseHolder newLeaseHolder(int id, int ofLife, BudgetTiming at, Collection<Budget> of, long from) {
                return new LeaseHolder(id, ofLife, at, of, from) {
                    @Override
                    long leaseEnd(long here, long sentAt) {
                        return broken.leaseEnd(here, sentAt, at);
                    }
                };
            }
        };
    }
}
