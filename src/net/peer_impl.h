/* What the parts of the peers' net share: sockets belong to its thread, the
   list of peers and their queues to its lock.  */
#ifndef NET_PEER_IMPL_H
#define NET_PEER_IMPL_H

#include <pthread.h>

#include "net/peer_zap.h"
#include "skr/base.h"
#include "skr/peer.h"
#include "skr/ring.h"

enum
{
  PN_SERVER_KEYS = 2 /* our own and the other one that peers may have */
};

struct held
{
  int64_t at_ms;
  int size;
  char data[];
};

struct peer
{
  char address[PR_ADDRESS];
  struct rg_ring queue;
  struct held *pending; /* taken off the queue, not sent yet */
  void *dealer[PN_SERVER_KEYS];
  int gone;
};

struct pr_net
{
  void *ctx, *router;
  int wake_fd, stop, rekey, bound;
  struct bs_thread thread;
  pthread_mutex_t lock; /* peers, keys, counts, stop */
  char listen[PR_ADDRESS + 8];
  struct pr_key_file keys; /* empty: no CURVE */
  struct zap zap;
  int queue, peers;
  struct peer *peer[PR_MAX_PEERS];
  struct pr_counts counts;
  struct bs_clock clock;
  pr_receive *receive;
  void *arg;
};

/* peer_dial.c */
void pn_set_int (void *socket, int option, int value);
void pn_set_common (void *socket);
void pn_close_dealers (struct peer *peer);
void pn_free_peer (struct peer *peer);
/* Opens the sockets of new peers and frees those that are gone.  */
void pn_open_peers (struct pr_net *net);
void pn_flush_peer (struct pr_net *net, struct peer *peer, int64_t now_ms);

/* peer_loop.c */
int pn_open_router (struct pr_net *net);
void *pn_main (void *net);

#endif
