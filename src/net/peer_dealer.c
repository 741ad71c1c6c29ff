/* Towards the peers: a DEALER for each and key, and the queue before it.  */
#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#include "net/peer_impl.h"

enum
{
  HEARTBEAT_IVL_MS = 1000,
  HEARTBEAT_TIMEOUT_MS = 3000, /* then the connection is dialled anew */
  RECONNECT_MS = 100,
  RECONNECT_MAX_MS = 2000,
  HANDSHAKE_MS = 3000,
  LINGER_MS = 300
};

void
pn_set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

void
pn_set_common (void *socket)
{
  pn_set_int (socket, ZMQ_LINGER, LINGER_MS);
  pn_set_int (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_IVL_MS);
  pn_set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  pn_set_int (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
}

/* ZMQ_IMMEDIATE: nothing is queued in a socket that has not finished its
   handshake, so that a message can go over whichever key works.  */
static void *
open_dealer (struct pr_net *net, const char *address, const char *server_key)
{
  void *socket = zmq_socket (net->ctx, ZMQ_DEALER);
  char url[PR_ADDRESS + 8];

  if (!socket)
    return NULL;
  pn_set_common (socket);
  pn_set_int (socket, ZMQ_IMMEDIATE, 1);
  pn_set_int (socket, ZMQ_SNDHWM, net->queue);
  pn_set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  pn_set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
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
  for (int k = 0; k < PN_SERVER_KEYS; k++)
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
pn_open_peers (struct pr_net *net)
{
  for (int i = 0; i < net->peers;)
    {
      struct peer *p = net->peer[i];

      if (p->gone)
        {
          pn_free_peer (p);
          net->peer[i] = net->peer[--net->peers];
          continue;
        }
      if (!p->dealer[0])
        p->dealer[0] = open_dealer (net, p->address, net->keys.public_key);
      if (!p->dealer[1] && *net->keys.other_key)
        p->dealer[1] = open_dealer (net, p->address, net->keys.other_key);
      i++;
    }
}

/* Returns 1 when the message went into a socket.  */
static int
send_held (struct peer *peer, const struct held *held)
{
  for (int k = 0; k < PN_SERVER_KEYS; k++)
    if (peer->dealer[k]
        && zmq_send (peer->dealer[k], held->data, (size_t)held->size,
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
      if (send_held (peer, peer->pending))
        net->counts.sent++;
      else if (now_ms - peer->pending->at_ms > PR_HOLD_MS)
        net->counts.dropped++;
      else
        return;
      free (peer->pending);
      peer->pending = NULL;
    }
}
