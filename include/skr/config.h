/* Configuration: the operators' two lists (plans and allowances), the split of
   the guarantees over the cells that is derived from them, and a store that
   never returns to an older version.  */
#ifndef SKR_CONFIG_H
#define SKR_CONFIG_H

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

#include "skr/base.h"
#include "skr/decide.h"
#include "skr/table.h"

enum cf_error
{
  CF_OK = 0,
  CF_EINVAL = -451,    /* malformed list; see the reason */
  CF_ENOMEM = -452,    /* allocation failed */
  CF_EFIT = -453,      /* the guarantees do not fit together */
  CF_ENOTNEWER = -454, /* not newer than the lists in force */
  CF_ECONFLICT = -455  /* the given version is not the one in force */
};

enum
{
  CF_NAME_SIZE = 64,      /* bytes of a name with its NUL */
  CF_REASON_SIZE = 256,   /* bytes */
  CF_MAX_ACCOUNTS = 4096, /* in one list */
  CF_MAX_RATE = 1000000,  /* calls a second, calls in progress, jobs */
  CF_MAX_PER_DOMAIN = 99, /* cells of one failure domain */
  CF_MAX_CELLS = 1100,    /* in the fleet, for 11 failure domains */
  CF_DOMAIN_SIZE = 60     /* bytes of a failure domain's name with its NUL */
};

/* CF_TABLE holds the heads {"version","digest"} of the lists under the keys
   CF_PLANS, CF_ALLOWANCES and CF_SPLIT, and the number of cells per domain
   under CF_CELLS_KEY.  CF_ROWS_TABLE holds the entries, each under
   "LIST/NAME".  A head that contains the list itself was written by an older
   release.  */
#define CF_TABLE "config"
#define CF_ROWS_TABLE "config.rows"
#define CF_PLANS "plans"
#define CF_ALLOWANCES "allowances"
#define CF_SPLIT "split"
#define CF_CELLS_KEY "cells"

/* A copy of one client account's entry and allowance.  */
struct cf_account
{
  char name[CF_NAME_SIZE];
  char plan[CF_NAME_SIZE];
  char key_digest[BS_DIGEST_SIZE];
  int64_t calls_per_second, concurrent_calls, queued_jobs;
  int shape_count;
  struct dc_shape shape[DC_MAX_SHAPES];
};

/* A worker as an input of the split of the guarantees.  */
struct cf_worker
{
  char cell[CF_NAME_SIZE];
  char rack[CF_NAME_SIZE];
  int32_t accelerators, slots;
};

/* The lists in force.  All functions lock the store, so that the threads of a
   process may share it.  */
struct cf_store
{
  pthread_rwlock_t lock;
  json_t *plans, *allowances, *split; /* NULL until first written */
  json_t *rows;                       /* all rows by key, or NULL */
  int per_domain;                     /* cells per domain; 0 while unknown */
};

/* State of a read of both tables.  The caller runs the scans that the reader
   requests.  */
struct cf_reader
{
  int is_fetch;           /* read the table's state even if it is not newer */
  json_t *heads;          /* array of rows */
  json_t *rows;           /* row key -> value */
  int64_t applied_rev;    /* revision of the rows in force */
  int64_t first_page_rev; /* revision of the current scan's first page */
  char after[2 * CF_NAME_SIZE];
  int in_progress, repeat, is_full_scan;
};

enum cf_read_state
{
  CF_READ_MORE,           /* the caller must run the scan NEXT */
  CF_READ_UNCHANGED,      /* the table has no newer lists */
  CF_READ_APPLIED,        /* newer lists were applied */
  CF_READ_TABLE_OUTDATED, /* the table is older than the lists in force; call
                   cf_repair */
  CF_READ_FETCHED,        /* HEADS and ROWS hold the table's state */
  CF_READ_FAILED,         /* no answer, or the table changed during the read */
};

/* Returns 0 or CF_ENOMEM.  */
int cf_init (struct cf_store *store);
void cf_fini (struct cf_store *store);

/* Applies HEADS that contain the lists, all or none.  They are applied only if
   plans and allowances are at least as new as those in force and the split is
   newer.  Returns 0 when the lists were replaced, CF_ENOTNEWER when they are
   not newer, or CF_EINVAL when an entry is malformed.  */
int cf_apply (struct cf_store *store, const json_t *heads);

void cf_reader_init (struct cf_reader *r, int is_fetch);
void cf_reader_fini (struct cf_reader *r);
/* Starts a read: fills NEXT with the first scan and returns 1.  When a read is
   already in progress, requests another one after it and returns 0.  NEXT is
   valid until the next call.  */
int cf_read_begin (struct cf_reader *r, struct tb_scan *next);
/* Processes ERROR (a tb_error) or DATA, the answer to the requested scan.
   Newer lists are applied as by cf_apply; rows that do not match the digests
   of the heads are not used.  */
enum cf_read_state cf_read_answer (struct cf_reader *r, struct cf_store *store,
                                   int error, const json_t *data,
                                   struct tb_scan *next);
/* Returns a new reference to the value of LIST in the table as read by R, or
   NULL.  */
json_t *cf_read_list (const struct cf_reader *r, const char *list);

/* The version of LIST in force; 0 before the first.  */
int64_t cf_version (struct cf_store *store, const char *list);
/* Returns a new reference to the value of LIST in force, or NULL.  */
json_t *cf_list (struct cf_store *store, const char *list);

/* Find an account by its name or key digest.  Return 0 and fill ACCOUNT, or
   CF_EINVAL when there is none.  */
int cf_find_account (struct cf_store *store, const char *name,
                     struct cf_account *account);
int cf_find_digest (struct cf_store *store, const char *key_digest,
                    struct cf_account *account);
/* Calls FN for each account in list order, with the store locked for
   reading.  */
void cf_foreach_account (struct cf_store *store,
                         void (*fn) (void *arg, const struct cf_account *),
                         void *arg);
/* Fills SHAPE with the part of ACCOUNT's guarantee assigned to CELL; returns
   the number of shapes, at most DC_MAX_SHAPES.  */
int cf_guarantee (struct cf_store *store, const char *account,
                  const char *cell, struct dc_shape *shape);
/* Fills CELL with the cells that hold a part of ACCOUNT's guarantee; returns
   their number, at most MAX.  The split lists them in the order of their
   names.  */
int cf_home_cells (struct cf_store *store, const char *account,
                   char cell[][CF_NAME_SIZE], int max);

/* Validates a change of LIST (CF_PLANS or CF_ALLOWANCES) to the entries
   NEW_LIST (an array) against the freshly read TABLE and the FLEET of WORKERS
   workers: every plan has an allowance, and all guarantees fit into cells
   together even if each cell loses SPARE_WORKERS workers.  VERSION is the
   version that the operator edited, 0 when there is no list yet.  Returns 0
   and fills TXN with the changes, which the caller commits; or returns a
   cf_error with a message in REASON, of CF_REASON_SIZE bytes.  */
int cf_propose (struct cf_store *store, const struct cf_reader *table,
                const char *list, int64_t version, const json_t *new_list,
                const struct cf_worker *fleet, int workers,
                int32_t spare_workers, struct tb_txn *txn, char *reason);

/* What became of a change whose commit got no answer.  */
enum cf_change_end
{
  CF_CHANGE_STORED,
  CF_CHANGE_NOT_STORED,
  CF_CHANGE_UNKNOWN /* the list has been changed again since */
};

/* Judges by the freshly read TABLE the change of LIST from VERSION to
   NEW_LIST.  */
enum cf_change_end cf_judge_change (const struct cf_reader *table,
                                    const char *list, int64_t version,
                                    const json_t *new_list);

/* If the freshly read TABLE is older than the lists in force, fills TXN to
   write the newer lists back and returns 1; else returns 0.  */
int cf_repair (struct cf_store *store, const struct cf_reader *table,
               struct tb_txn *txn);

/* Loads the number of cells per failure domain from ROWS, a scan of CF_TABLE.
   Once known it never changes while the process runs.  Returns 1 when this
   call has set it, else 0.  */
int cf_load_cells_per_domain (struct cf_store *store, const json_t *rows);
/* Number of cells per failure domain; 0 while unknown.  */
int cf_cells_per_domain (struct cf_store *store);
/* If ROWS has no number of cells per domain, fills TXN to write the known one,
   or PER_DOMAIN when none is known, and returns 1; else returns 0.  Of
   concurrent writes only the first one commits.  */
int cf_init_cells_per_domain (struct cf_store *store, const json_t *rows,
                              int per_domain, struct tb_txn *txn);
/* Writes the name of a worker's cell to OUT: DOMAIN itself when PER_DOMAIN is
   0 or 1, else "DOMAIN.N" with N derived from RACK.  */
void cf_cell_name (char out[CF_NAME_SIZE], const char *domain,
                   const char *rack, int per_domain);

const char *cf_strerror (int error);

#endif
