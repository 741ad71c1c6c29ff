/* The lease by which one VM schedules, as a row of the store.  Pure: rows
   and times come in.  Times are of a clock that also runs while the VM is
   suspended.  */
#ifndef SKR_BATCH_LEASE_H
#define SKR_BATCH_LEASE_H

#include <stdint.h>

enum
{
  LE_NAME_SIZE = 64 /* bytes of a holder's name with its NUL */
};

struct le_settings
{
  int64_t valid_ms;    /* from a renewal's sending, the holder may act */
  int64_t takeover_ms; /* unchanged for so long, the row may be taken */
  int64_t renew_ms;    /* between two renewals */
};

struct le_lease
{
  struct le_settings settings;
  char token[LE_NAME_SIZE]; /* of this process's life */
  char vm[LE_NAME_SIZE];
  /* The row as last known.  */
  int known; /* the table was read: the row is as below, or absent */
  int64_t version, epoch, serial;
  char holder_token[LE_NAME_SIZE],
      holder_vm[LE_NAME_SIZE]; /* token and VM; "" free */
  int64_t changed_ms;          /* when it was last seen to change */
  /* The row that a take under way expects, and the epoch that it writes.  */
  int64_t attempt_version, attempt_epoch;
  /* As its holder.  */
  int held;
  int64_t valid_until_ms, renewed_ms;
};

void le_init (struct le_lease *l, const struct le_settings *set,
              const char *vm, const char *token);
/* The row was read with VALUE ("" when absent) at VERSION.  Returns 1 when
   it names another holder than this one, which held it.  */
int le_row_seen (struct le_lease *l, int64_t version, const char *value,
                 int64_t now);
/* The table was read whole, and there may be no row.  */
void le_table_read (struct le_lease *l, int64_t now);
/* The store was not heard for a while: an unchanged row proves nothing.  */
void le_store_recovered (struct le_lease *l, int64_t now);
/* 1 when the row is free, has not changed for take_ms, or is of an earlier
   process on this VM, which is gone.  */
int le_may_acquire (const struct le_lease *l, int64_t now);
/* 1 while orders may be sent.  */
int le_valid (const struct le_lease *l, int64_t now);
/* When a renewal is due.  */
int64_t le_renew_at (const struct le_lease *l);

/* Begins a take: the value to write over the row as known now, with a higher
   epoch.  Free by free.  */
char *le_acquire_value (struct le_lease *l);
/* What became of the take, by the row as known now.  */
enum le_attempt
{
  LE_ATTEMPT_OPEN, /* the row is as it was */
  LE_ATTEMPT_DONE, /* the row is this take's */
  LE_ATTEMPT_STALE /* another write came first: the take must not be sent */
};
enum le_attempt le_attempt_state (const struct le_lease *l);
/* The value of a renewal, with the serial that it carries.  */
char *le_renew_value (const struct le_lease *l, int64_t *serial);
char *le_release_value (const struct le_lease *l);
/* The take, or the write of SERIAL, sent at SENT_MS, is done at VERSION.  */
void le_acquired (struct le_lease *l, int64_t version, int64_t sent_ms,
                  int64_t now);
void le_renewed (struct le_lease *l, int64_t version, int64_t serial,
                 int64_t sent_ms, int64_t now);
/* A write met the row with VALUE at VERSION instead of what it expected.
   Returns 1 when the row is still this holder's; *SERIAL is then what it
   carries.  */
int le_conflict (struct le_lease *l, int64_t version, const char *value,
                 int64_t now, int64_t *serial);
void le_drop (struct le_lease *l);

#endif
