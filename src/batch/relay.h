/* Relays callers' requests to a VM that has the store, from one that has not,
   over HTTP on a port of its own.  */
#ifndef SKR_BATCH_RELAY_H
#define SKR_BATCH_RELAY_H

#include <glib.h>

#include "skr/http.h"
#include "skr/port.h"
#include "skr/serve.h"

struct batch;

enum
{
  RL_SECRET_SIZE = 33, /* bytes with the NUL */
  RL_ID_SIZE = 32,     /* bytes of an id in the log, with the NUL */
  RL_MAX_TRIES = 2     /* VMs that one request is relayed to */
};

/* Another VM, from its row.  */
struct rl_peer
{
  char *vm, *address, *secret;
  int64_t at_ms;          /* of the row, on the store's clock */
  int64_t avoid_until_ms; /* it did not serve a request */
  int generation;
};

/* A relayed request that has no answer yet.  */
struct rl_call
{
  struct batch *b;
  struct hs_exchange *ex;
  const char *call; /* its name in the log, a static string */
  char id[RL_ID_SIZE];
  char *vm; /* it was sent to */
  int64_t began_ms, deadline_ms;
  int tries;
  int may_be_done; /* an earlier try may have been executed */
  /* Set on the client's thread.  */
  enum hc_outcome outcome;
  int status, retry_after_s;
  char *body;
};

struct rl_relay
{
  char secret[RL_SECRET_SIZE]; /* of this process */
  struct hs_server *server;
  GPtrArray *peers; /* of struct rl_peer */
  GPtrArray *calls; /* of struct rl_call */
  guint turn;       /* index of the peer that is tried first */
  int64_t publish_ms;
  int publish_in_flight;
};

/* What follows the end of one try.  */
enum rl_next
{
  RL_PASS,    /* pass the answer on */
  RL_OTHER,   /* try another VM */
  RL_UNKNOWN, /* the request may have been executed */
  RL_NOT_RUN
};

/* The end of a try.  */
struct rl_try
{
  enum hc_outcome outcome;
  int status;      /* 0 without an answer */
  int is_lookup;   /* the request changes nothing */
  int tries;       /* with this one */
  int may_be_done; /* by an earlier try */
};

enum rl_next rl_decide (const struct rl_try *t);

void rl_init (struct batch *b);
/* Handles a row of the table of VMs.  */
void rl_on_row (struct batch *b, const struct po_row *row, int generation);
void rl_on_synced (struct batch *b, int generation);
/* Returns the VM to try, which is not AFTER; NULL if there is none.  */
struct rl_peer *rl_pick (struct batch *b, const char *after);
/* Publishes this VM's row and reads those of the others when due.  */
void rl_tick (struct batch *b);
void rl_on_publish_reply (struct batch *b, const struct po_rows *rows);
/* Relays EX, whose answer is due at DEADLINE_MS.  Returns 0 if that is not
   possible; EX then still needs an answer.  */
int rl_request (struct batch *b, struct hs_exchange *ex, const char *id,
                const char *call, int64_t deadline_ms);
/* Handles the end of a try, on the loop thread.  */
void rl_on_reply (struct batch *b, struct rl_call *c);
/* Answers all relayed requests as unknown or not run.  */
void rl_fail_all (struct batch *b);
/* Returns 1 if EX has the secret, so that its body is kept.  */
int rl_wants_body (void *arg, struct hs_exchange *ex);
/* Accepts a request of another VM, on the HTTP server's thread.  */
void rl_handle (void *arg, struct hs_exchange *ex);
/* Returns 1 if EX was relayed to this VM.  */
int rl_is_relayed (struct hs_exchange *ex);

#endif
