/* The lease under which one VM schedules, kept as a row of the store.  Does
   no I/O: the caller passes in rows and times.  Times are in milliseconds of
   a clock that also runs while the VM is suspended.  */
#ifndef SKR_BATCH_LEASE_H
#define SKR_BATCH_LEASE_H

#include <stdint.h>

#include "batch/caution.h"

enum
{
  LE_NAME_SIZE = 64 /* bytes of a token or VM name with its NUL */
};

/* The end of a process by a crash, as it has reported it.  */
struct le_end
{
  char token[LE_NAME_SIZE]; /* of the process; "": none has */
  char id[SJ_ID_SIZE];      /* of the job that it worked on, or "" */
  int64_t age_ms;           /* of its term, or of the last change of rules */
};

struct le_settings
{
  int64_t valid_ms; /* the holder may act this long after it sent a renewal */
  int64_t takeover_ms; /* the row may be taken over after this long without a
                          change */
  int64_t renew_ms;    /* between two renewals */
  int64_t cpu_milli;   /* processor time of this VM, thousandths of a core */
};

/* The lease as one process knows it.  */
struct le_lease
{
  struct le_settings settings;
  char token[LE_NAME_SIZE]; /* of this incarnation of the process */
  char vm[LE_NAME_SIZE];
  /* The row as last known.  */
  int known; /* the table was scanned: the row is as below, or absent */
  int64_t version, epoch, serial;
  /* Empty if the lease is free.  */
  char holder_token[LE_NAME_SIZE], holder_vm[LE_NAME_SIZE];
  int64_t holder_cpu_milli; /* of the last holder's VM; 0: not known */
  int64_t changed_ms;       /* when the row was last seen to change */
  /* The row version that the current attempt to acquire the lease expects,
     and the epoch that it, or the current renewal, writes.  */
  int64_t attempt_version, attempt_epoch;
  int64_t wanted_epoch; /* the next renewal writes at least this one */
  /* As in the row, and as the holder changes it; as an attempt writes it; and
     the further jobs that the term of the attempt has to suspend.  */
  struct ca_caution caution, attempt_caution;
  int attempt_suspensions;
  /* State of this process as holder.  */
  int held;
  int64_t valid_until_ms, renewed_ms;
};

/* Initializes L for process TOKEN on VM.  Longer names are cut.  */
void le_init (struct le_lease *l, const struct le_settings *set,
              const char *vm, const char *token);
/* Handles the row, read with VALUE ("" if absent) at VERSION.  Returns 1 if
   this process held the lease and the row names another holder.  */
int le_row_seen (struct le_lease *l, int64_t version, const char *value,
                 int64_t now);
/* The table was scanned in full, so that an unknown row is absent.  */
void le_table_read (struct le_lease *l, int64_t now);
/* The store was unavailable for a while: only from NOW on does an unchanged
   row show that its holder is inactive.  */
void le_store_recovered (struct le_lease *l, int64_t now);
/* Returns 1 if the row is free, has not changed for takeover_ms, or belongs
   to an earlier process on this VM, which has ended.  */
int le_may_acquire (const struct le_lease *l, int64_t now);
/* Returns 1 if the last holder had much more processor time than this VM, so
   that others like it probably exist.  */
int le_is_small (const struct le_lease *l);
/* Returns 1 while orders may be sent.  */
int le_valid (const struct le_lease *l, int64_t now);
/* Returns the time at which the next renewal is due.  */
int64_t le_renew_at (const struct le_lease *l);

/* Begins an attempt to acquire the lease.  END is the last end by a crash, of
   whatever process.  Returns the value to write over the row as known now,
   with a higher epoch, to be released with free.  */
char *le_acquire_value (struct le_lease *l, const struct le_end *end);
/* Outcome of the attempt according to the row as known now.  */
enum le_attempt
{
  LE_ATTEMPT_OPEN, /* the row is unchanged */
  LE_ATTEMPT_DONE, /* the row was written by this attempt */
  LE_ATTEMPT_STALE /* another write came first; the attempt must not be sent */
};
enum le_attempt le_attempt_state (const struct le_lease *l);
/* Raises the epoch with the next renewal.  Returns the epoch that it will be
   at least.  The holder stays the same.  */
int64_t le_raise (struct le_lease *l);
/* Returns 1 if the epoch is to be raised.  */
int le_wants_raise (const struct le_lease *l);
/* Return the value of a renewal, whose serial is stored in SERIAL, and the
   value that releases the lease; to be released with free.  */
char *le_renew_value (struct le_lease *l, int64_t *serial);
char *le_release_value (const struct le_lease *l);
/* The attempt, or the renewal with SERIAL, sent at SENT_MS, was committed at
   VERSION.  */
void le_acquired (struct le_lease *l, int64_t version, int64_t sent_ms,
                  int64_t now);
void le_renewed (struct le_lease *l, int64_t version, int64_t serial,
                 int64_t sent_ms, int64_t now);
/* A write failed because the row has VALUE at VERSION.  Returns 1 if this
   process still holds the lease; *SERIAL is then the row's serial, by which
   a write whose reply was lost is recognized.  */
int le_conflict (struct le_lease *l, int64_t version, const char *value,
                 int64_t now, int64_t *serial);
/* No more orders may be sent, as the lease is being released: another VM may
   hold it before the reply arrives.  */
void le_end_orders (struct le_lease *l, int64_t now);
/* The process gives up its role as holder.  */
void le_drop (struct le_lease *l);

#endif
