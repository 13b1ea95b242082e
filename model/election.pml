/*
 * Election, sync of votes and leader lease, as in design.md section 4.
 *
 * Three voters, terms up to TERMS, crashes and restarts without limit, one lost disk. Logs are left out, so any voter
 * may be voted for; this allows more behaviours than the code has. Time is a global tick that ages every timer.
 */
#ifndef TERMS
#define TERMS 3
#endif
#define N 3
#define LEASE 1 /* ticks of the lease, from the sending of a round that a majority answered */
#define HOLD 2  /* ticks for which a voter grants no vote after a heartbeat; exceeds LEASE by the clock drift */

#define NONE 3

typedef Voter {
  byte term;   /* in memory */
  byte vote;   /* in memory */
  byte dterm;  /* on disk */
  byte dvote;  /* on disk */
  byte votes;  /* bit mask of grants, while candidate */
  bit cand;
  bit lead;
  bit lost;    /* its disk is lost: this identity has ended */
  byte hold;   /* remaining ticks for which it grants no vote */
  byte acks;   /* bit mask of the voters that answered the open round */
  byte age;    /* ticks since the open round was sent */
  byte lease;  /* remaining ticks of the lease */
  byte led;    /* on disk: latest term that it has led according to its log */
  byte former; /* term that it led before its restart, 0 for none */
};

Voter v[N];
byte leader[TERMS + 1]; /* first leader seen in each term, plus one */
byte losses;

#define BIT(i) (1 << (i))
#define MAJORITY(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)
#define SYNCED(i) (v[i].dterm == v[i].term && v[i].dvote == v[i].vote)
#define VALID(i) (v[i].lead && v[i].lease > 0)

inline follow(i) {
  v[i].cand = 0; v[i].lead = 0; v[i].votes = 0; v[i].acks = 0; v[i].age = 0; v[i].lease = 0;
  v[i].former = 0
}

/* A vote is counted only after the voter's sync; the fault counts it while it is in memory only. */
#ifdef FAULT_VOTE_WITHOUT_SYNC
#define DURABLE(i) (true)
#else
#define DURABLE(i) SYNCED(i)
#endif

#ifdef FAULT_OLD_IDENTITY
#define ALIVE(i) (true)
#else
#define ALIVE(i) (!v[i].lost)
#endif

/* A former leader's lease ended with its process, so that no voter has to wait for its expiry. A lease of an earlier term
 * had ended before that leader was elected. */
#ifdef FAULT_FORMER_OF_ANY_TERM
#define FORMER(i) (v[i].former != 0)
#define RELEASED(i, c) FORMER(c)
#else
#define FORMER(i) (v[i].former != 0 && v[i].former == v[i].term)
#define RELEASED(i, c) (v[c].former != 0 && v[c].former + 1 == v[c].term && v[i].term < v[c].term)
#endif

/* Voter i grants its vote to candidate c: first in memory, then (sync) on disk, then the answer is counted. */
#define CAN_GRANT(i, c) (ALIVE(i) && v[c].cand && (v[i].hold == 0 || RELEASED(i, c)) && !v[i].lead && \
  (v[i].term < v[c].term || (v[i].term == v[c].term && v[i].vote == NONE)))
#define CAN_COUNT(i, c) (ALIVE(i) && v[c].cand && v[i].term == v[c].term && v[i].vote == c && DURABLE(i) && \
  !(v[c].votes & BIT(i)))

#define GRANT(i, c) \
  :: d_step { i != c && CAN_GRANT(i, c) -> \
       follow(i); v[i].term = v[c].term; v[i].vote = c; }
#define COUNT(i, c) \
  :: d_step { CAN_COUNT(i, c) -> \
       CHECK_IDENTITY(i); v[c].votes = v[c].votes | BIT(i); }

/* Without this assertion the fault is detected by its consequence only, two leaders in one term. */
#ifdef NO_IDENTITY_ASSERT
#define CHECK_IDENTITY(i) skip
#else
#define CHECK_IDENTITY(i) assert(!v[i].lost)
#endif

/* Voter i receives the open round of leader l and answers it. */
#define CAN_ANSWER(i, l) (ALIVE(i) && i != l && v[l].lead && v[l].acks != 0 && !(v[l].acks & BIT(i)) && \
  v[i].term <= v[l].term)
#define ANSWER(i, l) \
  :: d_step { CAN_ANSWER(i, l) -> \
       if \
       :: v[i].term < v[l].term -> follow(i); v[i].term = v[l].term; v[i].vote = NONE \
       :: else -> v[i].cand = 0; v[i].votes = 0 \
       fi; \
       v[i].hold = HOLD; v[l].acks = v[l].acks | BIT(i); }

/* A leader or candidate that sees a higher term becomes a follower in that term. */
#define STEP_DOWN(i, j) \
  :: d_step { i != j && ALIVE(i) && (v[i].lead || v[i].cand) && v[i].term < v[j].term -> \
       follow(i); v[i].term = v[j].term; v[i].vote = NONE; }

proctype node(byte me) {
end:
  do
  /* Campaign: pre-vote is the condition that the candidate itself has received no heartbeat within the hold. */
  :: d_step { ALIVE(me) && !v[me].lead && (v[me].hold == 0 || FORMER(me)) && v[me].term < TERMS ->
       v[me].cand = 0; v[me].votes = 0;
       v[me].former = (FORMER(me) -> v[me].former : 0);
       v[me].term = v[me].term + 1; v[me].vote = me; v[me].cand = 1; }
  /* The first entry of the term, which names the leader, is synced. */
  :: d_step { v[me].lead && SYNCED(me) && v[me].led != v[me].term -> v[me].led = v[me].term; }
  :: d_step { !SYNCED(me) && !v[me].lost ->
       v[me].led = (v[me].dterm == v[me].term -> v[me].led : 0);
       v[me].dterm = v[me].term; v[me].dvote = v[me].vote; }
  GRANT(me, 0)
  GRANT(me, 1)
  GRANT(me, 2)
  COUNT(me, 0)
  COUNT(me, 1)
  COUNT(me, 2)
  /* Elected. */
  :: d_step { v[me].cand && MAJORITY(v[me].votes) ->
       assert(leader[v[me].term] == 0 || leader[v[me].term] == me + 1);
       leader[v[me].term] = me + 1;
       v[me].cand = 0; v[me].votes = 0; v[me].former = 0; v[me].lead = 1; }
  /* Heartbeat round: sent, answered by a majority, completed. */
  :: d_step { v[me].lead -> v[me].acks = BIT(me); v[me].age = 0; v[me].hold = HOLD; }
  ANSWER(me, 0)
  ANSWER(me, 1)
  ANSWER(me, 2)
  :: d_step { v[me].lead && MAJORITY(v[me].acks) ->
#ifdef FAULT_LEASE_FROM_ANSWER
       v[me].lease = LEASE;
#else
       v[me].lease = (v[me].age < LEASE && LEASE - v[me].age > v[me].lease -> LEASE - v[me].age : v[me].lease);
#endif
       v[me].acks = 0; v[me].age = 0; }
  STEP_DOWN(me, 0)
  STEP_DOWN(me, 1)
  STEP_DOWN(me, 2)
  /* Kill and restart: memory is lost, and with it the time of the last heartbeat. */
  :: d_step { !v[me].lost ->
       follow(me);
       v[me].term = v[me].dterm; v[me].vote = v[me].dvote;
#ifdef FAULT_FORMER_BY_VOTE
       v[me].former = (v[me].dvote == me -> v[me].dterm : 0);
#else
       v[me].former = (v[me].led == v[me].dterm -> v[me].led : 0);
#endif
#ifdef FAULT_NO_LEASE_WAIT
       v[me].hold = 0;
#else
       v[me].hold = HOLD;
#endif
     }
  /* The disk is lost. The identity ends; the fault restarts it with an empty folder. */
  :: d_step { !v[me].lost && losses == 0 ->
       losses = 1;
       follow(me);
       v[me].lost = 1; v[me].hold = 0; v[me].led = 0; v[me].former = 0;
       v[me].term = 0; v[me].dterm = 0; v[me].vote = NONE; v[me].dvote = NONE; }
#ifdef FAULT_OLD_IDENTITY
  :: d_step { v[me].lost && !SYNCED(me) -> v[me].dterm = v[me].term; v[me].dvote = v[me].vote; }
#endif
  od
}

/* One tick of time, which ages all timers. */
proctype clock() {
  byte i;
end:
  do
  :: d_step {
       i = 0;
       do
       :: i < N ->
            v[i].hold = (v[i].hold > 0 -> v[i].hold - 1 : 0);
            v[i].lease = (v[i].lease > 0 -> v[i].lease - 1 : 0);
            v[i].age = (v[i].acks != 0 && v[i].age < LEASE -> v[i].age + 1 : v[i].age);
            i++
       :: else -> break
       od;
       i = 0 }
  od
}

/* The monitor is always enabled, so that it checks in every state that at most one lease is valid. */
active proctype monitor() {
end:
  if
  :: d_step { (VALID(0) && VALID(1)) || (VALID(0) && VALID(2)) || (VALID(1) && VALID(2)) -> assert(false) }
#ifdef REACH
  /* Shows that the search is not vacuous: a lease in the last term exists after a lost disk and two earlier leaders. */
  :: d_step { VALID(2) && v[2].term == TERMS && v[1].lost && leader[1] == 1 && leader[2] == 2 -> assert(false) }
#endif
  fi
}

init {
  atomic {
    v[0].vote = NONE; v[1].vote = NONE; v[2].vote = NONE;
    v[0].dvote = NONE; v[1].dvote = NONE; v[2].dvote = NONE;
    run node(0); run node(1); run node(2); run clock()
  }
}
