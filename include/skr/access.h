/* What one VM knows about its access to the store, and when a refused caller
   should return.  Does no I/O and reads no clock: NOW is in milliseconds of
   the caller's monotonic clock.  The state lives in memory and is of this VM
   only.  */
#ifndef SKR_ACCESS_H
#define SKR_ACCESS_H

#include <stdint.h>

enum ac_path_name
{
  AC_READS,
  AC_WRITES,
  AC_PATHS
};

enum ac_state
{
  AC_AVAILABLE,
  AC_STALLED, /* calls get no answer */
  AC_REFUSED  /* calls are answered with refusals, so that nothing is done */
};

/* What the last change of a state is based on.  */
enum ac_evidence
{
  AC_NOTHING,
  AC_OWN_ANSWER,  /* a call of this VM was answered */
  AC_OTHER_WRITE, /* a row that another VM wrote was seen */
  AC_NO_ANSWER,
  AC_REFUSAL
};

enum ac_reply
{
  AC_ANSWERED,
  AC_NOT_DONE, /* refused or not sent: nothing was done */
  AC_LOST      /* no answer; the effect is unknown */
};

/* Times are of the active clock (see ac_tick), 0: not set; SINCE_MS is of the
   caller's clock.  */
struct ac_path
{
  enum ac_state state, reported;
  enum ac_evidence evidence;
  int64_t since_ms;      /* beginning of the state */
  int64_t unanswered_ms; /* first call without an answer since the last one */
  int64_t refused_ms;    /* first refusal since the last answer */
  int refusals;          /* since the last answer */
};

enum
{
  AC_CALLERS = 256 /* refused callers that are remembered */
};

struct ac_caller
{
  uint64_t id;
  int64_t at_ms; /* of the last refusal */
  int times;     /* it was refused */
};

struct ac_access
{
  int64_t ticked_ms, active_ms;
  struct ac_path path[AC_PATHS];
  int64_t seen_ms;       /* last write of another VM */
  int64_t probe_ms;      /* first probe since the last sign of a write */
  int64_t own_probe_ms;  /* first probe since the last own answer */
  int64_t next_probe_ms; /* earliest time of the next probe */
  int64_t read_probe_ms; /* first read probe since the last one was answered */
  int64_t next_read_probe_ms;
  int64_t refused_at_ms; /* of the last refused caller */
  int refused;           /* callers since the last pause in refusals */
  struct ac_caller caller[AC_CALLERS];
};

/* A refusal and the values that it is based on.  */
struct ac_refusal
{
  int retry_after_s;
  int64_t outage_ms; /* 0: no path is stalled or refused */
  int refused;       /* callers in this outage, this one included */
  int times;         /* this caller was refused before */
};

void ac_init (struct ac_access *a, int64_t now);
/* Notes a call that was sent.  */
void ac_sent (struct ac_access *a, enum ac_path_name path, int64_t now);
void ac_replied (struct ac_access *a, enum ac_path_name path,
                 enum ac_reply reply, int64_t now);
/* Notes that a row was seen that another VM wrote a moment ago.  */
void ac_write_seen (struct ac_access *a, int64_t now);
/* Returns 1 when a probe should be sent: a write without effect, which shows
   whether the store answers writes.  */
int ac_probe_is_due (const struct ac_access *a, int64_t now);
/* Notes that a probe was sent; also counts as ac_sent.  */
void ac_probe_sent (struct ac_access *a, int64_t now);
/* The same for reads, while a write probe has no answer.  The polls of the
   tables do not show it: one that was sent before an outage is answered up to
   its length later.  */
int ac_read_probe_is_due (const struct ac_access *a, int64_t now);
void ac_read_probe_sent (struct ac_access *a, int64_t now);
void ac_read_probe_answered (struct ac_access *a);
/* Updates the states; called regularly.  A gap between two calls counts as
   200 ms at most, so that answers that wait while the VM is suspended are not
   taken for missing.  Returns a bit for each path whose state has changed
   since the last call.  */
unsigned ac_tick (struct ac_access *a, int64_t now);
/* Returns the duration of the current outage of PATH; 0 if available.  */
int64_t ac_outage_ms (const struct ac_access *a, enum ac_path_name path,
                      int64_t now);
/* Returns 1 if PATH is stalled and no success can be expected within
   REMAINING_MS.  */
int ac_outlasts (const struct ac_access *a, enum ac_path_name path,
                 int64_t remaining_ms, int64_t now);
/* Returns 1 if the store does not serve this VM's writes and serves those of
   others, or may do so, as it answers this VM's reads neither.  */
int ac_is_cut_off (const struct ac_access *a, int64_t now);
/* Counts the refusal of CALLER (any number that is the same when it returns)
   and returns when it should return.  */
struct ac_refusal ac_refuse (struct ac_access *a, uint64_t caller,
                             int64_t now);
const char *ac_state_name (enum ac_state state);
const char *ac_evidence_name (enum ac_evidence evidence);

#endif
