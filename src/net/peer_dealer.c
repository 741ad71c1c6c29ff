/* Sending to peers: one DEALER socket for each peer and server key, and a
   queue for each peer.  */
#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#include "net/peer_impl.h"

enum
{
  HEARTBEAT_IVL_MS = 1000,
  HEARTBEAT_TIMEOUT_MS = 3000, /* the connection is then reopened */
  RECONNECT_IVL_MS = 100,
  RECONNECT_IVL_MAX_MS = 2000,
  HANDSHAKE_TIMEOUT_MS = 3000,
  LINGER_MS = 300
};

void
pn_set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

void
pn_set_common_options (void *socket)
{
  pn_set_int (socket, ZMQ_LINGER, LINGER_MS);
  pn_set_int (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_IVL_MS);
  pn_set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  pn_set_int (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
}

/* ZMQ_IMMEDIATE keeps messages out of sockets whose handshake has not
   finished, so that a message is sent over the key that the peer accepts.  */
static void *
open_dealer (struct pr_net *net, const char *address, const char *server_key)
{
  void *socket = zmq_socket (net->ctx, ZMQ_DEALER);
  char url[PR_ADDRESS_SIZE + 8];

  if (!socket)
    return NULL;
  pn_set_common_options (socket);
  pn_set_int (socket, ZMQ_IMMEDIATE, 1);
  pn_set_int (socket, ZMQ_SNDHWM, net->queue_size);
  pn_set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_IVL_MS);
  pn_set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_IVL_MAX_MS);
  if (*server_key)
    {
      zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, server_key, PR_KEY_SIZE);
      zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, net->keys.public_key,
                      PR_KEY_SIZE);
      zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, net->keys.secret_key,
                      PR_KEY_SIZE);
    }
  snprintf (url, sizeof url, "tcp://%s", address);
  if (zmq_connect (socket, url) == 0)
    return socket;
  zmq_close (socket);
  return NULL;
}

void
pn_close_dealers (struct peer *peer)
{
  for (int k = 0; k < PN_MAX_SERVER_KEYS; k++)
    {
      if (peer->dealer[k])
        zmq_close (peer->dealer[k]);
      peer->dealer[k] = NULL;
    }
}

void
pn_free_peer (struct peer *peer)
{
  void *item;

  pn_close_dealers (peer);
  while (rg_pop (&peer->queue, &item, 0) == BS_OK)
    free (item);
  free (peer->pending);
  rg_fini (&peer->queue);
  free (peer);
}

void
pn_update_peers (struct pr_net *net)
{
  for (int i = 0; i < net->peer_count;)
    {
      struct peer *p = net->peer[i];

      if (p->removed)
        {
          pn_free_peer (p);
          net->peer[i] = net->peer[--net->peer_count];
          continue;
        }
      if (!p->dealer[0])
        p->dealer[0] = open_dealer (net, p->address, net->keys.public_key);
      if (!p->dealer[1] && *net->keys.other_key)
        p->dealer[1] = open_dealer (net, p->address, net->keys.other_key);
      i++;
    }
}

/* Returns 1 when a socket has accepted the message.  */
static int
send_queued (struct peer *peer, const struct queued_message *queued)
{
  for (int k = 0; k < PN_MAX_SERVER_KEYS; k++)
    if (peer->dealer[k]
        && zmq_send (peer->dealer[k], queued->data, (size_t)queued->size,
                     ZMQ_DONTWAIT)
               >= 0)
      return 1;
  return 0;
}

void
pn_flush_peer (struct pr_net *net, struct peer *peer, int64_t now_ms)
{
  void *item;

  for (;;)
    {
      if (!peer->pending)
        {
          if (rg_pop (&peer->queue, &item, 0) != BS_OK)
            return;
          peer->pending = item;
        }
      if (send_queued (peer, peer->pending))
        net->counts.sent++;
      else if (now_ms - peer->pending->queued_ms > PR_HOLD_MS)
        net->counts.dropped++;
      else
        return;
      free (peer->pending);
      peer->pending = NULL;
    }
}
