/* The peer network's thread: polls its sockets, receives and sends.  */
#include <errno.h>
#include <stdlib.h>
#include <unistd.h>
#include <zmq.h>

#include "net/peer_impl.h"

enum
{
  POLL_MS = 200,
  MAX_RECEIVE_BATCH = 256,
  FIXED_ITEMS = 3 /* ROUTER, wake-up, ZAP */
};

/* Rebinding after a change of keys keeps open connections; only new handshakes
   use the new key.  */
static int
bind_router (struct pr_net *net)
{
  if (*net->keys.secret_key)
    {
      pn_set_int (net->router, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (net->router, ZMQ_CURVE_SECRETKEY, net->keys.secret_key,
                      PR_KEY_SIZE);
    }
  net->bound = zmq_bind (net->router, net->listen) == 0;
  return net->bound ? PR_OK : PR_ENET;
}

int
pn_open_router (struct pr_net *net)
{
  int64_t max = PR_MAX_SIZE;

  net->router = zmq_socket (net->ctx, ZMQ_ROUTER);
  if (!net->router)
    return PR_ENET;
  pn_set_common_options (net->router);
  zmq_setsockopt (net->router, ZMQ_MAXMSGSIZE, &max, sizeof max);
  pn_set_int (net->router, ZMQ_RCVHWM, net->queue_size);
  if (*net->keys.secret_key && zap_open (&net->zap, net->ctx))
    return PR_ENET;
  return bind_router (net);
}

static void
apply_keys (struct pr_net *net)
{
  net->keys_changed = 0;
  for (int i = 0; i < net->peer_count; i++)
    pn_close_dealers (net->peer[i]);
  zap_set_accepted_keys (&net->zap, net->keys.public_key, net->keys.other_key);
  if (net->bound)
    zmq_unbind (net->router, net->listen);
  net->bound = 0;
}

static void
receive_one (struct pr_net *net, const zmq_msg_t *frame,
             struct pr_message *message)
{
  int error = pr_decode (message, zmq_msg_data ((zmq_msg_t *)frame),
                         (int)zmq_msg_size (frame));

  pthread_mutex_lock (&net->lock);
  if (error)
    net->counts.malformed++;
  else
    net->counts.received++;
  pthread_mutex_unlock (&net->lock);
  if (!error)
    net->receive (net->arg, message);
}

/* Receives one message; returns 0 when there is none.  A message has two
   frames, the sender's routing id and the body; any other number of frames is
   malformed.  */
static int
receive_message (struct pr_net *net, struct pr_message *message)
{
  zmq_msg_t frame, body;
  int frames = 0, more = 1;

  zmq_msg_init (&body);
  while (more)
    {
      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, net->router, ZMQ_DONTWAIT) < 0)
        break;
      more = zmq_msg_more (&frame);
      if (++frames == 2)
        zmq_msg_move (&body, &frame);
      zmq_msg_close (&frame);
    }
  if (frames == 2)
    receive_one (net, &body, message);
  else if (frames)
    {
      pthread_mutex_lock (&net->lock);
      net->counts.malformed++;
      pthread_mutex_unlock (&net->lock);
    }
  zmq_msg_close (&body);
  return frames > 0;
}

/* Applies changes of keys and peers, sends queued messages and fills ITEM for
   the next poll; returns the number of items.  The caller holds the lock.  */
static int
prepare_poll (struct pr_net *net, zmq_pollitem_t *item)
{
  int n = FIXED_ITEMS;
  int64_t now_ms = bs_now_ms (&net->clock);

  if (net->keys_changed)
    apply_keys (net);
  if (!net->bound)
    bind_router (net);
  pn_update_peers (net);
  item[0] = (zmq_pollitem_t){ net->router, 0, ZMQ_POLLIN, 0 };
  item[1] = (zmq_pollitem_t){ NULL, net->wake_fd, ZMQ_POLLIN, 0 };
  item[2] = item[1];
  if (net->zap.socket)
    item[2] = (zmq_pollitem_t){ net->zap.socket, 0, ZMQ_POLLIN, 0 };
  for (int i = 0; i < net->peer_count; i++)
    {
      struct peer *p = net->peer[i];

      pn_flush_peer (net, p, now_ms);
      for (int k = 0; p->pending && k < PN_MAX_SERVER_KEYS; k++)
        if (p->dealer[k])
          item[n++] = (zmq_pollitem_t){ p->dealer[k], 0, ZMQ_POLLOUT, 0 };
    }
  return n;
}

static void
handle_poll_events (struct pr_net *net, const zmq_pollitem_t *item,
                    struct pr_message *message)
{
  uint64_t ignored;

  if (item[1].revents & ZMQ_POLLIN)
    while (read (net->wake_fd, &ignored, sizeof ignored) < 0 && errno == EINTR)
      continue;
  if (net->zap.socket)
    {
      int refused = zap_answer_requests (&net->zap);

      pthread_mutex_lock (&net->lock);
      net->counts.refused += refused;
      pthread_mutex_unlock (&net->lock);
    }
  if (item[0].revents & ZMQ_POLLIN)
    for (int i = 0; i < MAX_RECEIVE_BATCH && receive_message (net, message);
         i++)
      continue;
}

void *
pn_thread_main (void *arg)
{
  struct pr_net *net = arg;
  struct pr_message *message = calloc (1, sizeof *message);
  zmq_pollitem_t *item
      = calloc (FIXED_ITEMS + PN_MAX_SERVER_KEYS * PR_MAX_PEERS, sizeof *item);
  int stop = !message || !item;

  while (!stop)
    {
      int n;

      pthread_mutex_lock (&net->lock);
      n = prepare_poll (net, item);
      stop = net->stop;
      pthread_mutex_unlock (&net->lock);
      if (stop)
        break;
      if (zmq_poll (item, n, POLL_MS) < 0 && errno != EINTR)
        break;
      handle_poll_events (net, item, message);
    }
  free (item);
  free (message);
  return NULL;
}
