/* The lease of one cell, as one VM sees it: a state machine without I/O and
   without a clock of its own.

   The lease is a row of table `cells`.  Its epoch rises with each change of
   holder, its beat with each write of a holder.  A VM takes the lease over
   only after the row has not changed for the row's lease time by the VM's own
   clock; a holder stops acting a margin before that time has passed since it
   SENT its last successful renewal.  Every write is a compare-and-set on the
   row's version, so clocks need only run at nearly the same speed.  */
#ifndef CONTROL_LEASE_H
#define CONTROL_LEASE_H

#include <jansson.h>
#include <stdint.h>

#include "control/control.h"

struct ce_row
{
  char holder[CT_NAME]; /* empty: released */
  char token[CT_TOKEN]; /* of the holder's process */
  int64_t epoch, lease_ms, beat;
  int doubt;       /* job rows may be older than what was done by them */
  int64_t version; /* 0: the row is absent */
};

enum ce_state
{
  CE_WATCHING, /* held by another VM, or by none */
  CE_TAKING,   /* our take-over is on its way */
  CE_HOLDING,
  CE_RELEASING /* our release is on its way */
};

/* What became of a write.  */
enum ce_result
{
  CE_WRITTEN,
  CE_NOT_WRITTEN,
  CE_CONFLICT,
  CE_UNKNOWN /* to be settled by ce_resolve */
};

struct ce_lease
{
  char vm[CT_NAME], token[CT_TOKEN];
  int64_t lease_ms, margin_ms;
  enum ce_state state;
  struct ce_row row;    /* as last read or written */
  int row_is_current;   /* ROW was read since the last failure to read */
  int64_t row_seen_ms;  /* when ROW was first seen so */
  int64_t available_ms; /* since when it may be taken; -1: it may not */
  int in_flight, unresolved;
  int64_t writes_sent; /* writes sent by this process; each names its own */
  /* The table was put back to an earlier state, and not all rows have been
     judged since; it stands in the row, so that the next holder knows.  */
  int doubt;
  int64_t max_version; /* the highest version seen */
  int lower_reads;     /* reads on end of a lower one */
  int64_t max_epoch;   /* the highest epoch seen anywhere */
  struct ce_row sent;  /* the write in flight */
  int64_t sent_ms, valid_until_ms;
};

/* TOKEN tells this process from an earlier one of the same VM.  */
void ce_init (struct ce_lease *l, const char *self, const char *token,
              int64_t lease_ms, int64_t margin_ms);

/* Reads a row's JSON value; NULL stands for an absent row.  Returns 0 or
   CT_EINVAL.  */
int ce_parse (struct ce_row *row, const json_t *value, int64_t version);
/* A new JSON value.  */
json_t *ce_print (const struct ce_row *row);

/* A read of the row was answered.  Returns 1 when it shows that a lease
   thought to be held belongs to another.  */
int ce_observe (struct ce_lease *l, int64_t now_ms, const struct ce_row *row);
/* The table did not answer: the wait for a take-over begins anew, so that
   the holder can renew first when the table is back.  */
void ce_read_failed (struct ce_lease *l);

/* Whether to take over, DELAY_MS after it became possible.  */
int ce_may_take (struct ce_lease *l, int64_t now_ms, int64_t delay_ms);
/* Each fills ROW with the value to be written under a check on
   l->row.version; ce_result must follow.  */
void ce_take (struct ce_lease *l, int64_t now_ms, struct ce_row *row);
void ce_renew (struct ce_lease *l, int64_t now_ms, struct ce_row *row);
void ce_release (struct ce_lease *l, int64_t now_ms, struct ce_row *row);

/* FOUND is the row of a conflict, else NULL; REV the version written.
   Returns the result as it stands now: a conflict with our own earlier write
   counts as written.  */
enum ce_result ce_result (struct ce_lease *l, int64_t now_ms,
                          enum ce_result result, int64_t rev,
                          const struct ce_row *found);
/* The row was read again after CE_UNKNOWN.  */
enum ce_result ce_resolve (struct ce_lease *l, int64_t now_ms,
                           const struct ce_row *found);

/* Whether orders may be sent and rows written.  */
int ce_may_act (const struct ce_lease *l, int64_t now_ms);
/* Held as far as is known, though perhaps not provably.  */
int ce_is_holder (const struct ce_lease *l);
/* EPOCH was seen at a worker before this process used its own.  Returns 1 when
   another holder had the same one or a higher one: the table was put back.  */
int ce_epoch_reused (struct ce_lease *l, int64_t now_ms, int64_t epoch);
/* All rows have been judged.  */
void ce_clear_doubt (struct ce_lease *l);
/* EPOCH was seen at a worker or in a peer's message.  Returns 1 when it shows
   that the lease is lost.  */
int ce_observe_epoch (struct ce_lease *l, int64_t now_ms, int64_t epoch);

#endif
