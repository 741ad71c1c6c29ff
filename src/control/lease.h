/* The lease of one cell, as one VM sees it: a state machine without I/O and
   without a clock of its own.  Times are monotonic milliseconds.

   The lease is a row of table `cells`.  Its epoch increases with each change
   of holder, its beat with each write of a holder.  A VM takes the lease over
   only after the row has not changed for the row's lease duration by the VM's
   own clock.  A holder stops acting a margin before that duration has passed
   since it SENT its last successful renewal.  Every write is a compare-and-set
   on the row's version, so clocks need only run at nearly the same speed.  */
#ifndef CONTROL_LEASE_H
#define CONTROL_LEASE_H

#include <jansson.h>
#include <stdint.h>

#include "control/control.h"

/* Contents of a cell's lease row.  */
struct ce_row
{
  char holder[CT_NAME];          /* name of the holder's VM; empty: released */
  char token[CT_TOKEN];          /* identifies the holder's process */
  int64_t epoch, lease_ms, beat; /* BEAT: number of the write */
  int doubt;       /* the table was restored: job rows may be outdated */
  int64_t version; /* table version; 0: the row is absent */
};

enum ce_state
{
  CE_WATCHING,    /* held by another VM or by none */
  CE_TAKING_OVER, /* our take-over is in flight */
  CE_HOLDING,
  CE_RELEASING /* our release is in flight */
};

/* Result of a write.  */
enum ce_result
{
  CE_WRITTEN,
  CE_NOT_WRITTEN,
  CE_CONFLICT,
  CE_UNKNOWN /* may have been applied; to be settled by ce_resolve */
};

struct ce_lease
{
  char vm[CT_NAME], token[CT_TOKEN];
  int64_t lease_ms, margin_ms;
  enum ce_state state;
  struct ce_row row;    /* row as last read or written */
  int row_is_current;   /* ROW was read since the last failed read */
  int64_t row_seen_ms;  /* when this version of ROW was first read */
  int64_t available_ms; /* since when the lease is available; -1: it is not */
  int in_flight, unresolved; /* a write is in flight; its result is unknown */
  /* Writes sent by this process; each stores its number as the beat.  */
  int64_t writes_sent;
  /* The table was restored to an earlier state, and not all job rows have been
     checked since.  Also stored in the row for the next holder.  */
  int doubt;
  int64_t max_version; /* highest version read or written */
  int lower_reads;     /* consecutive reads of a lower version */
  int64_t max_epoch; /* highest epoch seen in rows, at workers or from peers */
  struct ce_row sent;     /* row of the write in flight */
  int64_t sent_ms;        /* when the last write was sent */
  int64_t valid_until_ms; /* the lease is provably held until then */
};

/* Initializes the lease as not held.  SELF is the VM's name.  TOKEN
   distinguishes this process from earlier ones of the same VM.  */
void ce_init (struct ce_lease *l, const char *self, const char *token,
              int64_t lease_ms, int64_t margin_ms);

/* Parses a row's JSON value.  NULL stands for an absent row.  Returns CT_OK or
   CT_EINVAL.  */
int ce_parse (struct ce_row *row, const json_t *value, int64_t version);
/* Returns a new JSON value.  */
json_t *ce_print (const struct ce_row *row);

/* Handles a successful read of the row.  Returns 1 if it shows that a lease
   believed to be held belongs to another holder.  */
int ce_observe (struct ce_lease *l, int64_t now_ms, const struct ce_row *row);
/* Handles a failed read of the row.  The wait before a take-over restarts, so
   that the holder can renew first when the table is back.  */
void ce_read_failed (struct ce_lease *l);

/* Whether to take over at NOW_MS: the lease has been available for
   DELAY_MS.  */
int ce_may_take_over (struct ce_lease *l, int64_t now_ms, int64_t delay_ms);
/* Each fills ROW with the value to write under a check on l->row.version.  The
   result must be passed to ce_result.  */
void ce_take_over (struct ce_lease *l, int64_t now_ms, struct ce_row *row);
void ce_renew (struct ce_lease *l, int64_t now_ms, struct ce_row *row);
void ce_release (struct ce_lease *l, int64_t now_ms, struct ce_row *row);

/* Handles the result of a write.  FOUND is the current row for a conflict,
   else NULL; REV is the version written.  Returns the effective result: a
   conflict with an own earlier write may count as written.  */
enum ce_result ce_result (struct ce_lease *l, int64_t now_ms,
                          enum ce_result result, int64_t rev,
                          const struct ce_row *found);
/* Settles a write whose result was CE_UNKNOWN.  FOUND is the row as read again
   since.  */
enum ce_result ce_resolve (struct ce_lease *l, int64_t now_ms,
                           const struct ce_row *found);

/* Whether the lease is provably held, so that orders may be sent and rows
   written.  */
int ce_may_act (const struct ce_lease *l, int64_t now_ms);
/* Whether the lease is held as far as is known; it may have expired.  */
int ce_is_holder (const struct ce_lease *l);
/* Handles an EPOCH reported by a worker before this process sent it its own
   epoch.  Returns 1 if another holder used the same or a higher one: the table
   was restored, and the lease is lost.  */
int ce_epoch_reused (struct ce_lease *l, int64_t now_ms, int64_t epoch);
/* Clears the doubt once all job rows have been checked.  */
void ce_clear_doubt (struct ce_lease *l);
/* Handles an EPOCH reported by a worker or a peer.  Returns 1 if it shows that
   the lease is lost.  */
int ce_observe_epoch (struct ce_lease *l, int64_t now_ms, int64_t epoch);

#endif
