/* Typed messages between the daemons on entry VMs, encoded with msgpack and
   sent over ZeroMQ.  The VM list contains the ROUTER address of each
   skr-entry.  A skr-sched connects to all of them and announces its own
   address in its heartbeats, so that each skr-entry connects back.  */
#ifndef SKR_PEER_H
#define SKR_PEER_H

#include <stdint.h>

enum pr_error
{
  PR_OK = 0,
  PR_EINVAL = -351, /* malformed or of an unsupported version */
  PR_ENOMEM = -352,
  PR_ENET = -353,   /* a ZeroMQ call failed */
  PR_EFULL = -354,  /* the peer's queue is full; the message was dropped */
  PR_ENOPEER = -355 /* no such peer */
};

enum
{
  PR_VERSION = 1,
  PR_ID_SIZE = 64,      /* bytes of a name (VM, cell, job) with its NUL */
  PR_ADDRESS_SIZE = 64, /* bytes of "IP:PORT" with its NUL */
  PR_MAX_CELLS = 32,    /* in one heartbeat */
  PR_MAX_CREDITS = 512,
  PR_KEY_SIZE = 41,        /* bytes of a key in Z85 with its NUL */
  PR_HOLD_MS = 2000,       /* an unsent message older than this is dropped */
  PR_MAX_SIZE = 256 << 10, /* bytes of a message */
  PR_MAX_PEERS = 1024
};

enum pr_kind
{
  PR_HEARTBEAT = 1, /* sched and entry to all peers, every second */
  PR_JOB,           /* entry to cell holder: a job row was written */
  PR_JOB_ENDED,     /* cell holder to all: a job's state has changed */
  PR_CONFIG,        /* a configuration version was accepted */
  PR_CREDITS,       /* cell holder to one entry: slots it may use */
  PR_USAGE,         /* entry to all: calls of each account, for rates */
  PR_VMS            /* entry to its failure domain: changes of the VM list */
};

enum pr_role
{
  PR_ENTRY = 1,
  PR_SCHED
};

struct pr_cell
{
  char cell[PR_ID_SIZE];
  int64_t epoch;
};

struct pr_heartbeat
{
  char vm[PR_ID_SIZE];
  int32_t role;
  int32_t leaving;
  char address[PR_ADDRESS_SIZE]; /* the sender's ROUTER */
  char domain[PR_ID_SIZE];
  int64_t plans_version, allowances_version;
  int32_t cells;
  struct pr_cell cell[PR_MAX_CELLS];
  int64_t stamp_ms; /* sender's monotonic clock; copied into grants */
};

struct pr_job
{
  char cell[PR_ID_SIZE];
  char job[PR_ID_SIZE];
};

struct pr_config
{
  char list[PR_ID_SIZE]; /* "plans" or "allowances" */
  int64_t version;
};

struct pr_credit
{
  char worker[PR_ID_SIZE];
  char address[PR_ADDRESS_SIZE]; /* the worker's HTTP port */
  int32_t slots;
  int32_t connections;
};

struct pr_credits
{
  char cell[PR_ID_SIZE];
  int64_t epoch;
  int64_t stamp_ms; /* STAMP_MS of the receiver's last heartbeat */
  int64_t valid_ms; /* validity from STAMP_MS on the receiver's clock, so
                       that a late message grants nothing */
  int32_t count;
  struct pr_credit credit[PR_MAX_CREDITS];
};

enum
{
  PR_MAX_USAGE = 512 /* accounts in one message */
};

struct pr_use
{
  char account[PR_ID_SIZE];
  int32_t calls_in_progress;
  int32_t calls_last_second;
};

struct pr_usage
{
  char vm[PR_ID_SIZE];
  int32_t count;
  struct pr_use use[PR_MAX_USAGE];
};

enum
{
  PR_MAX_VMS = 128 /* changes in one message */
};

enum pr_vm_state
{
  PR_VM_LIVE = 1,
  PR_VM_LEAVING,
  PR_VM_GONE /* no longer listed */
};

/* One line of the platform's VM list.  */
struct pr_vm
{
  char id[PR_ID_SIZE], address[PR_ADDRESS_SIZE];
  char peer[PR_ADDRESS_SIZE]; /* ROUTER, for an entry VM */
  char rack[PR_ID_SIZE], domain[PR_ID_SIZE];
  int32_t is_entry, state;
  int32_t accelerators, slots, connections;
};

/* Result of a read of the VM list: its recent changes, and a digest of the
   whole list.  */
struct pr_vms
{
  char reader[PR_ID_SIZE]; /* VM that has read the list */
  char domain[PR_ID_SIZE]; /* the reader's failure domain */
  int64_t incarnation;     /* identifies the reader's process */
  int64_t serial;          /* number of the read; increases */
  int64_t digest;          /* of the whole list */
  int32_t more;            /* another message of this read follows */
  int32_t count;
  struct pr_vm vm[PR_MAX_VMS];
};

struct pr_message
{
  enum pr_kind kind;
  union
  {
    struct pr_heartbeat heartbeat;
    struct pr_job job; /* PR_JOB and PR_JOB_ENDED */
    struct pr_config config;
    struct pr_credits credits;
    struct pr_usage usage;
    struct pr_vms vms;
  } u;
};

struct pr_net; /* opaque */

struct pr_settings
{
  const char *listen; /* "IP:PORT"; port 0 is not allowed */
  /* CURVE keys in Z85, the same pair on every VM; required unless every
     address is loopback.  OTHER_KEY, which may be NULL, is the previous or the
     next public key, accepted as well during a key rotation.  */
  const char *public_key, *secret_key, *other_key;
  int queue; /* messages queued for one peer; new ones are dropped when full */
};

/* Message counters since pr_new.  */
struct pr_counts
{
  int64_t sent, received;
  int64_t malformed; /* received and dropped */
  int64_t dropped;   /* not sent: queue full, or older than PR_HOLD_MS */
  int64_t refused;   /* handshakes with a key that is not accepted */
};

/* Called on the network's thread; must not block.  */
typedef void pr_receive (void *arg, const struct pr_message *message);

/* Binds the ROUTER and starts the thread.  Returns 0 and sets *OUT, which is
   freed by pr_free, or returns a pr_error.  */
int pr_new (struct pr_net **out, const struct pr_settings *settings,
            pr_receive *receive, void *arg);
void pr_free (struct pr_net *net);
/* Replaces the set of connected peers; addresses as "IP:PORT".  Returns 0 or
   the first error.  */
int pr_set_peers (struct pr_net *net, const char *const *address, int count);
/* Queues MESSAGE for the peer at ADDRESS, or for all peers when ADDRESS is
   NULL.  May be called from any thread; never blocks.  Returns 0 or a
   pr_error.  */
int pr_send (struct pr_net *net, const char *address,
             const struct pr_message *message);
/* Replaces the keys while the network runs; OTHER_KEY may be NULL.  */
int pr_set_keys (struct pr_net *net, const char *public_key,
                 const char *secret_key, const char *other_key);
void pr_count (struct pr_net *net, struct pr_counts *out);

/* A key file: {"public","secret","other"?}, each 40 characters of Z85.  */
struct pr_key_file
{
  char public_key[PR_KEY_SIZE], secret_key[PR_KEY_SIZE],
      other_key[PR_KEY_SIZE];
};
/* Returns 0 or PR_EINVAL; OTHER_KEY is empty when the file has none.  */
int pr_read_keys (const char *path, struct pr_key_file *out);

/* Identity and settings of a daemon on the peer network.  */
struct pr_daemon_settings
{
  const char *vm, *domain;
  const char *listen;    /* "IP:PORT" of its ROUTER */
  const char *peers;     /* additional peers, separated by commas */
  const char *keys_path; /* empty: no CURVE */
  int role, queue;
};

/* Calls pr_new with the keys from the key file of DAEMON, which it stores in
   KEYS.  */
int pr_open (struct pr_net **out, struct pr_key_file *keys,
             const struct pr_daemon_settings *daemon, pr_receive *receive,
             void *arg);
/* Reads the key file again and applies changed keys, so that keys can be
   rotated while the daemon runs.  */
void pr_reload_keys (struct pr_net *net, struct pr_key_file *keys,
                     const struct pr_daemon_settings *daemon);
/* Connects to the peers of DAEMON and those of ADDRESS, except for the daemon
   itself, duplicates and NULL or empty addresses; returns their number.  */
int pr_connect_peers (struct pr_net *net,
                      const struct pr_daemon_settings *daemon,
                      const char *const *address, int count);
/* Initializes M as a heartbeat of DAEMON; the caller adds the versions and
   cells.  */
void pr_init_heartbeat (struct pr_message *m,
                        const struct pr_daemon_settings *daemon, int leaving,
                        int64_t now_ms);

/* The codec, exported for tests and fuzzing.  pr_encode returns the size in
   bytes or a pr_error; the caller frees *OUT with free.  pr_decode returns 0
   or PR_EINVAL.  */
int pr_encode (const struct pr_message *message, char **out);
int pr_decode (struct pr_message *message, const char *data, int size);
const char *pr_strerror (int error);

#endif
