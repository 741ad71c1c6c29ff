/* Internals of the peer network.  Its thread owns the sockets; its lock guards
   the list of peers and their queues.  */
#ifndef NET_PEER_IMPL_H
#define NET_PEER_IMPL_H

#include <pthread.h>

#include "net/peer_zap.h"
#include "skr/base.h"
#include "skr/peer.h"
#include "skr/ring.h"

enum
{
  PN_MAX_SERVER_KEYS = 2 /* this daemon's own and the alternative one */
};

struct queued_message
{
  int64_t queued_ms;
  int size;
  char data[];
};

struct peer
{
  char address[PR_ADDRESS_SIZE];
  struct rg_ring queue;
  struct queued_message *pending; /* taken from the queue, not sent yet */
  void *dealer[PN_MAX_SERVER_KEYS];
  int removed;
};

struct pr_net
{
  void *ctx, *router;
  int wake_fd, stop, keys_changed, bound;
  struct bs_thread thread;
  pthread_mutex_t lock; /* guards peers, keys, counts and stop */
  char listen[PR_ADDRESS_SIZE + 8];
  struct pr_key_file keys; /* empty: no CURVE */
  struct zap zap;
  int queue_size, peer_count;
  struct peer *peer[PR_MAX_PEERS];
  struct pr_counts counts;
  struct bs_clock clock;
  pr_receive *receive;
  void *arg;
};

/* peer_dial.c */
void pn_set_int (void *socket, int option, int value);
void pn_set_common_options (void *socket);
void pn_close_dealers (struct peer *peer);
void pn_free_peer (struct peer *peer);
/* Opens the sockets of new peers and frees removed peers.  */
void pn_update_peers (struct pr_net *net);
/* Sends queued messages until a socket would block, and drops those older than
   PR_HOLD_MS that cannot be sent.  */
void pn_flush_peer (struct pr_net *net, struct peer *peer, int64_t now_ms);

/* peer_loop.c */
/* Opens and binds the ROUTER; returns 0 or PR_ENET.  */
int pn_open_router (struct pr_net *net);
void *pn_thread_main (void *net);

#endif
