/* Two VMs and the store's job table.  Calls to the store wait until the test
   lets it execute them, in any order, and may lose their answers.  */
#ifndef TESTS_WITHDRAWAL_FAKE_ROWS_H
#define TESTS_WITHDRAWAL_FAKE_ROWS_H

#include "batch/batch.h"

struct hs_exchange
{
  struct hs_request request;
  int status, answers;
  char body[256];
};

struct fw_world
{
  struct batch vm[2];
  GTree *rows; /* key to struct fw_row */
  int64_t version;
  GPtrArray *calls; /* struct fw_call, the oldest first */
  int reads, writes;
  int refuses_writes; /* the store answers that nothing was done */
};

struct fw_row
{
  char *value;
  int64_t version;
};

struct fw_call;

/* The world is static, as the port's functions use it.  */
struct fw_world *fw_init (void);
void fw_fini (struct fw_world *w);
/* A client's call at VM.  EX is answered now or later.  */
void fw_call (struct fw_world *w, int vm, struct hs_exchange *ex,
              const char *method, const char *path, const char *key);
/* The store executes all waiting calls and answers them.  */
void fw_run (struct fw_world *w);
/* It executes and answers the oldest one.  */
void fw_run_oldest (struct fw_world *w);
/* Takes the oldest waiting call, as one that is on its way for long, whose VM
   gets no answer.  */
struct fw_call *fw_take (struct fw_world *w);
/* The store executes C now and frees it.  */
void fw_execute_late (struct fw_world *w, struct fw_call *c);
/* Lets MS pass on all VMs.  */
void fw_wait (struct fw_world *w, int64_t ms);
/* VM learns of all rows by the table's changes.  */
void fw_follow (struct fw_world *w, int vm);
int fw_has_row (const struct fw_world *w, const char *key);
void fw_remove_row (struct fw_world *w, const char *key);

#endif
