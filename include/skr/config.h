/* The operators' two lists, the split of the guarantees over the cells that
   follows from them, and the store that only goes forward.  */
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
  CF_EINVAL = -451,   /* malformed list; see the reason */
  CF_ENOMEM = -452,   /* allocation failed */
  CF_EFIT = -453,     /* the guarantees do not fit together */
  CF_EOLD = -454,     /* not newer than what is in force */
  CF_ECONFLICT = -455 /* the given version is not the one in force */
};

enum
{
  CF_NAME_SIZE = 64,      /* bytes of a name with its NUL */
  CF_REASON_SIZE = 256,   /* bytes */
  CF_MAX_ACCOUNTS = 4096, /* in one list */
  CF_MAX_RATE = 1000000,  /* calls a second, calls in progress, jobs */
  CF_MAX_PER_DOMAIN = 99, /* cells of one failure domain */
  CF_MAX_CELLS = 1100,    /* of the fleet: 11 failure domains */
  CF_DOMAIN = 60          /* bytes of a failure domain's name with its NUL */
};

/* The table of the lists' heads {"version","digest"} and the keys of its rows;
   the table of the entries, each under "LIST/NAME".  A head that holds the
   list itself was written by an older release.  */
#define CF_TABLE "config"
#define CF_ROWS "config.rows"
#define CF_PLANS "plans"
#define CF_ALLOWANCES "allowances"
#define CF_SPLIT "split"
#define CF_CELLS "cells"

/* What one client account may use; a copy for the reader.  */
struct cf_account
{
  char name[CF_NAME_SIZE];
  char plan[CF_NAME_SIZE];
  char key_digest[BS_DIGEST_SIZE];
  int64_t calls_per_second, concurrent_calls, queued_jobs;
  int shapes;
  struct dc_shape shape[DC_MAX_SHAPES];
};

/* A worker as the fit test sees it.  */
struct cf_worker
{
  char cell[CF_NAME_SIZE];
  char rack[CF_NAME_SIZE];
  int32_t accelerators, slots;
};

/* Guarded by a lock of its own; shared by the threads of one program.  */
struct cf_store
{
  pthread_rwlock_t lock;
  json_t *plans, *allowances, *split; /* whole; NULL before the first */
  json_t *rows;                       /* the same by their keys, or NULL */
  int per_domain;                     /* cells; 0: not known yet */
};

/* A reading of both tables, by the scans that it asks for.  */
struct cf_reader
{
  int is_fetch;        /* the table's state is wanted, whatever is in force */
  json_t *heads;       /* array */
  json_t *rows;        /* by their keys */
  int64_t rev;         /* the rows in force were read up to it */
  int64_t reading_rev; /* of the first page */
  char after[2 * CF_NAME_SIZE];
  int busy, again, whole;
};

enum cf_end
{
  CF_END_MORE,   /* NEXT is to be scanned */
  CF_END_SAME,   /* nothing newer */
  CF_END_NEW,    /* newer lists are in force now */
  CF_END_OLDER,  /* the table is older than what is in force: cf_repair */
  CF_END_READ,   /* HEADS and ROWS are the table's state */
  CF_END_FAILED, /* no answer, or the table has changed meanwhile */
};

int cf_init (struct cf_store *store);
void cf_fini (struct cf_store *store);

/* Applies HEADS that hold the lists themselves, whole and only if every list
   is at least as new as the one in force and one is newer.  Returns 0 when
   something changed, CF_EOLD when nothing did, CF_EINVAL.  */
int cf_apply (struct cf_store *store, const json_t *heads);

void cf_reader_init (struct cf_reader *r, int is_fetch);
void cf_reader_fini (struct cf_reader *r);
/* Fills NEXT and returns 1; or returns 0 when a reading is in progress, to be
   followed by another one.  NEXT holds until the next call.  */
int cf_read_begin (struct cf_reader *r, struct tb_scan *next);
/* Takes the answer to the scan that was asked for.  Newer lists are applied as
   cf_apply does; rows that do not amount to the digests of the heads are not
   used.  */
enum cf_end cf_read_answer (struct cf_reader *r, struct cf_store *store,
                            int error, const json_t *data,
                            struct tb_scan *next);
/* A new reference to what the table that R has read holds as LIST, or
   NULL.  */
json_t *cf_read_list (const struct cf_reader *r, const char *list);

/* Versions in force; 0 before the first.  */
int64_t cf_version (struct cf_store *store, const char *list);
/* A new reference to a list's row value, or NULL.  */
json_t *cf_list (struct cf_store *store, const char *list);

/* Each returns 0 and fills ACCOUNT, or CF_EINVAL when there is none.  */
int cf_find_account (struct cf_store *store, const char *name,
                     struct cf_account *account);
int cf_find_digest (struct cf_store *store, const char *key_digest,
                    struct cf_account *account);
/* Calls FN for each account in the list's order.  */
void cf_each_account (struct cf_store *store,
                      void (*fn) (void *arg, const struct cf_account *),
                      void *arg);
/* The part of ACCOUNT's guarantee that CELL holds; returns the number of
   shapes, at most DC_MAX_SHAPES.  */
int cf_guarantee (struct cf_store *store, const char *account,
                  const char *cell, struct dc_shape *shape);
/* Cells that hold a part of ACCOUNT's guarantee; returns their number, at
   most MAX, in the order of their names.  */
int cf_home_cells (struct cf_store *store, const char *account,
                   char cell[][CF_NAME_SIZE], int max);

/* Checks a change of LIST (CF_PLANS or CF_ALLOWANCES) to the entries
   NEW_LIST (an array) against the TABLE, just read, and the FLEET,
   whole: every plan known, every guarantee placed in a cell, all of them at
   once with SPARE_WORKERS lost in each cell.  VERSION is the one that the
   operator edited; 0 stands for "no list yet".  On success fills TXN, to be
   submitted by the caller, with what changes; REASON tells what was wrong.  */
int cf_propose (struct cf_store *store, const struct cf_reader *table,
                const char *list, int64_t version, const json_t *new_list,
                const struct cf_worker *fleet, int workers,
                int32_t spare_workers, struct tb_txn *txn, char *reason);

/* When the TABLE, just read, is older than what is in force, fills TXN to
   write the newer lists back and returns 1; else 0.  */
int cf_repair (struct cf_store *store, const struct cf_reader *table,
               struct tb_txn *txn);

/* Takes the cells of a failure domain from ROWS, a scan of CF_TABLE, unless
   they are known: they stay as they are while the program runs.  Returns 1
   when they are known from now on.  */
int cf_learn_cells (struct cf_store *store, const json_t *rows);
/* Cells of each failure domain; 0 when not known yet.  */
int cf_cells (struct cf_store *store);
/* When ROWS does not say, fills TXN to write what is known, else PER_DOMAIN,
   and returns 1; else 0.  Only the first write is taken.  */
int cf_seed_cells (struct cf_store *store, const json_t *rows, int per_domain,
                   struct tb_txn *txn);
/* The cell of a worker.  With one cell in each failure domain it has the
   domain's name; PER_DOMAIN 0 counts as 1.  */
void cf_cell_name (char out[CF_NAME_SIZE], const char *domain,
                   const char *rack, int per_domain);

const char *cf_strerror (int error);

#endif
