/*
 * Orders to one engine of design.md section 7: a controller (1) that loses its lease at any step and its successor (2).
 *
 * KIND selects the engine: 1 checks the fencing token, 2 ignores it and takes orders by prepare and nonce, 3 ignores it
 * and takes orders on a condition on its revision, 4 takes any order (plain). Frames are delivered in any order, as late
 * as wanted, or never (a lost frame is one that stays in flight); an answer may be lost or come too late. The engine may crash between
 * the two halves of a change. That one lease ends before the next begins is checked by election.pml.
 */
#ifndef KIND
#define KIND 1
#endif
#ifndef SENDS
#define SENDS 4 /* frames that each controller may send */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#define CHECKED (KIND == 1)
#define TWOSTEP (KIND == 2)
#define CONDITIONAL (KIND == 3)

#define UNUSED 0
#define FLYING 1
#define DONE 2
#define REFUSED 3

typedef Frame {
  byte state;
  bit order;   /* an order; otherwise the seal before it: prepare, or a touch that only raises fence or revision */
  byte expect; /* revision (kind 3) or nonce (kind 2) that it names; after a prepare the nonce that it got */
  byte inc;    /* incarnation that it names */
  byte want;   /* desired state */
}

Frame f[2 * SENDS];  /* frames of controller 1, then those of controller 2 */

byte auth = 1;       /* holder of the lease: 1, then nobody (0), then 2 */

/* The engine. */
byte inc, rev, nonce, minted;
byte fence, seq;     /* highest fencing token and sequence taken, kind 1 */
byte lastc, lasts;   /* last order that it reports: controller and sequence */
bit busy;            /* it is carrying an order out */
byte role, model;    /* the two halves of its state */
byte crashes;

byte awaits[3];      /* frame whose answer each controller awaits, plus one; 0 when none */
bit closed;          /* the successor has sealed the engine and read it back */

#define OWNER(k) ((k) < SENDS -> 1 : 2)
#define SEQ(k) ((k) < SENDS -> (k) + 1 : (k) - SENDS + 1)

#if defined(FAULT_FENCE_FORGOTTEN)
#define NAMED(k) (true)
#else
#define NAMED(k) (f[k].inc == inc)
#endif

/* What the engine notes of a frame that it took, by its kind. */
#if KIND == 1
#define MARK(k) fence = OWNER(k); seq = SEQ(k)
#elif KIND == 3
#define MARK(k) rev++
#else
#define MARK(k) skip
#endif

/* Whether the engine takes frame k, by its kind. */
#define NEWER(k) (OWNER(k) > fence || (OWNER(k) == fence && SEQ(k) > seq))
#if KIND == 1
#define TAKES(k) (NEWER(k) && NAMED(k))
#elif KIND == 2
#ifdef FAULT_NO_PREPARE
#define TAKES(k) (true)
#else
#define TAKES(k) (!f[k].order || (f[k].expect == nonce && nonce > 0))
#endif
#elif KIND == 3
#ifdef FAULT_NO_CONDITION
#define TAKES(k) (true)
#else
#define TAKES(k) (f[k].expect == rev && NAMED(k))
#endif
#else
#define TAKES(k) (true)
#endif

#define AWAITED(k) (awaits[OWNER(k)] == (k) + 1)

/* A frame that nobody awaits is cleared, so that its past does not tell states apart. */
#define CLEAR(k) f[k].order = 0; f[k].inc = 0; f[k].want = 0; f[k].expect = 0

#define DELIVER(k) \
  :: d_step { f[k].state == FLYING && TAKES(k) -> \
       f[k].state = (AWAITED(k) -> DONE : UNUSED); \
       MARK(k); \
       if \
       :: f[k].order -> \
            assert(!busy);                        /* never two orders at a time */ \
            assert(OWNER(k) == 2 || !closed);     /* nothing of the deposed controller after its successor */ \
            busy = 1; role = f[k].want; nonce = 0; \
            lastc = OWNER(k); lasts = SEQ(k); \
            CLEAR(k) \
       :: !f[k].order && TWOSTEP -> \
            minted++; nonce = minted; CLEAR(k); \
            f[k].expect = (AWAITED(k) -> minted : 0) \
       :: else -> CLEAR(k) \
       fi; } \
  :: d_step { f[k].state == FLYING && !TAKES(k) -> f[k].state = (AWAITED(k) -> REFUSED : UNUSED); CLEAR(k); }

active proctype engine() {
end:
  do
  DELIVER(0)
  DELIVER(1)
  DELIVER(2)
  DELIVER(3)
  DELIVER(4)
  DELIVER(5)
  DELIVER(6)
  DELIVER(7)
#if SENDS > 4
  DELIVER(8)
  DELIVER(9)
#endif
#if SENDS > 5
  DELIVER(10)
  DELIVER(11)
#endif
  :: d_step { busy -> busy = 0; model = role; }
  /* A crash in a change leaves half of it. The fence is in memory; NAMED keeps frames for the former incarnation out. */
  :: d_step { crashes < CRASHES ->
       crashes++; inc++; busy = 0; nonce = 0; lastc = 0; lasts = 0;
       fence = 0; seq = 0; }
  od
}

active proctype lease() {
end:
  d_step { auth == 1 -> auth = 0; }
  d_step { auth == 0 -> auth = 2; }
}

#ifdef FAULT_NO_LEASE_CHECK
#define HOLDS(c) (true)
#else
#define HOLDS(c) (auth == c)
#endif

/* An order can be committed until the successor's term has an entry. */
#define COMMITS(c) (c == 2 || auth != 2)

#define NEXT(c, i) ((c - 1) * SENDS + i)

inline send(o) {
  f[NEXT(me, i)].state = FLYING;
  f[NEXT(me, i)].order = o;
  f[NEXT(me, i)].expect = expect;
  f[NEXT(me, i)].inc = seen;
  f[NEXT(me, i)].want = (o -> want : 0);
  i++;
  awaits[me] = NEXT(me, i)
}

#define ANSWER f[NEXT(me, i - 1)]

/* Stops to await the answer. */
inline leave() {
  awaits[me] = 0;
  if
  :: ANSWER.state != FLYING -> ANSWER.state = UNUSED; ANSWER.expect = 0
  :: else -> skip
  fi
}

proctype controller(byte me) {
  byte i;        /* frames sent */
  byte want;     /* desired state of the present decision */
  byte expect;   /* revision or nonce for the next frame */
  byte seen;     /* incarnation for the next frame */
  byte open;     /* sequence of the last order whose outcome is open, 0 when none */

  d_step { auth == me -> want = me; }

plan: /* The order is recorded before anything is sent. */
  if
  :: d_step { HOLDS(me) && COMMITS(me) && i + 1 < SENDS -> seen = inc; expect = rev; }
  :: else -> goto stop
  fi;

seal: /* Voids whatever is in flight: raises the fence, takes a new nonce, or raises the revision. */
#ifndef FAULT_NO_SEAL
  d_step { send(0) }
  if
  :: d_step { ANSWER.state == DONE -> expect = (TWOSTEP -> ANSWER.expect : 0); leave() }
  :: d_step { ANSWER.state != DONE -> leave() } goto plan /* refused, or no answer in time: seal again */
  fi;
#endif

readback: /* After the seal; waits until the engine is idle. */
  if
  :: d_step { HOLDS(me) && !busy && seen == inc ->
       expect = (CONDITIONAL -> rev : expect);
       closed = (me == 2 -> 1 : closed); }
  :: HOLDS(me) && seen != inc -> goto plan
  :: !HOLDS(me) -> goto stop
  fi;
  if
  :: d_step { HOLDS(me) && open > 0 && lastc == me && lasts == open -> open = 0; want = me + 2; } goto plan
  :: d_step { HOLDS(me) && !(open > 0 && lastc == me && lasts == open) -> open = 0; }
  :: !HOLDS(me) -> goto stop
  fi;

order:
  if
  :: d_step { HOLDS(me) -> send(1); open = i; }
  :: else -> goto stop
  fi;
  if
  :: d_step { ANSWER.state == DONE -> open = 0; want = me + 2; leave() }
  :: d_step { ANSWER.state == REFUSED -> open = 0; leave() }
  :: d_step { true -> leave() } /* unknown */
#ifdef FAULT_ORDER_WITHOUT_READBACK
       /* Goes on to the next decision at once, as if the order had not arrived. */
       want = me + 2; open = 0;
       if
       :: HOLDS(me) && i < SENDS -> expect = (CONDITIONAL -> rev : expect); goto order
       :: else -> goto stop
       fi
#else
       skip
#endif
  fi;
  goto plan;

stop:
  skip
}

init {
  atomic { run controller(1); run controller(2) }
}

#ifdef REACH
/* Shows that the search is not empty: both controllers changed the engine, which crashed in the first change. */
active proctype reach() {
end:
  d_step { lastc == 2 && model == 4 && crashes == CRASHES && f[1].state == FLYING -> assert(false) }
}
#endif
