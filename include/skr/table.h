/* Client of the platform's table: transactions with checks, reads and scans.
   Functions that take DONE are asynchronous.  */
#ifndef SKR_TABLE_H
#define SKR_TABLE_H

#include <jansson.h>
#include <stdint.h>

#include "skr/http.h"

enum tb_error
{
  TB_OK = 0,
  TB_EINVAL = -401,
  TB_ENOMEM = -402,
  TB_ECONFLICT = -403, /* a check failed; nothing was written */
  TB_EDOWN = -404,     /* unavailable or refused; nothing was written */
  TB_EUNKNOWN = -405,  /* the answer is lost; the write may have happened */
  TB_ENOENT = -406,    /* no such row */
  TB_EBUSY = -407      /* rate limit of the platform; nothing was written */
};

struct tb_client; /* opaque */

struct tb_config
{
  const char *url; /* "http://IP:PORT" */
  int timeout_ms;  /* of one request and its answer */
};

/* Returns a new client, to be freed by tb_free.  HC stays the caller's and
   must outlive the client; CONFIG is copied.  */
struct tb_client *tb_new (struct hc_client *hc,
                          const struct tb_config *config);
void tb_free (struct tb_client *tb);

/* A transaction: tb_txn_init, then checks and operations, then a commit, then
   tb_txn_fini.  */
struct tb_txn
{
  json_t *checks, *ops;
};

void tb_txn_init (struct tb_txn *txn);
void tb_txn_fini (struct tb_txn *txn);
/* Requires that the row have VERSION; 0 requires that it be absent.  */
void tb_txn_check (struct tb_txn *txn, const char *table, const char *key,
                   int64_t version);
/* Takes over the reference to VALUE.  */
void tb_txn_put (struct tb_txn *txn, const char *table, const char *key,
                 json_t *value);
void tb_txn_delete (struct tb_txn *txn, const char *table, const char *key);

/* Callback with the result.  ERROR is 0 or a tb_error.  DATA, valid only
   during the callback, is the platform's JSON answer: {"rev"},
   {"conflicts"}, one row, {"rev","rows","more"} or {"vms"}; NULL when there
   is none.  Runs on the HTTP client's thread.  */
typedef void tb_done (void *arg, int error, json_t *data);

/* Each returns 0, and DONE runs once, or a tb_error, and DONE does not run. */
int tb_commit (struct tb_client *tb, const struct tb_txn *txn, tb_done *done,
               void *arg);
int tb_get (struct tb_client *tb, const char *table, const char *key,
            tb_done *done, void *arg);
struct tb_scan
{
  const char *table;
  const char *prefix, *after; /* may be NULL */
  int64_t since;              /* rows changed after this revision; 0: all */
  int limit;                  /* rows; 0: the platform's default */
};
int tb_scan (struct tb_client *tb, const struct tb_scan *scan, tb_done *done,
             void *arg);
int tb_vms (struct tb_client *tb, tb_done *done, void *arg);

/* Blocking variants.  Return 0 or a tb_error.  *DATA is set to a new reference
   or NULL; DATA may be NULL.  */
int tb_commit_wait (struct tb_client *tb, const struct tb_txn *txn,
                    json_t **data);
int tb_get_wait (struct tb_client *tb, const char *table, const char *key,
                 json_t **data);
const char *tb_strerror (int error);

#endif
