#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "net/peer_zap.h"
#include "skr/base.h"
#include "skr/log.h"
#include "skr/peer.h"
#include "skr/ring.h"

enum
{
  SERVER_KEYS = 2, /* our own and the other one that peers may have */
  HEARTBEAT_IVL_MS = 1000,
  HEARTBEAT_TIMEOUT_MS = 3000, /* then the connection is dialled anew */
  RECONNECT_MS = 100,
  RECONNECT_MAX_MS = 2000,
  HANDSHAKE_MS = 3000,
  LINGER_MS = 300,
  POLL_MS = 200,
  RECEIVE_BATCH = 256,
  FIXED_ITEMS = 3 /* ROUTER, wake-up, authentication */
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
  void *dealer[SERVER_KEYS];
  int gone;
};

struct pr_net
{
  void *ctx, *router;
  int wake_fd, stop, rekey, bound;
  pthread_t thread;
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

static int
is_loopback (const char *address)
{
  return !strncmp (address, "127.", 4) || !strncmp (address, "[::1]:", 6);
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
wake (struct pr_net *net)
{
  uint64_t one = 1;

  while (write (net->wake_fd, &one, sizeof one) < 0 && errno == EINTR)
    continue;
}

static void
set_common (void *socket)
{
  set_int (socket, ZMQ_LINGER, LINGER_MS);
  set_int (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_IVL_MS);
  set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_int (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
}

/* Binding again after a change of keys leaves open connections alone: only
   new handshakes use the new key.  */
static int
bind_router (struct pr_net *net)
{
  if (*net->keys.secret_key)
    {
      set_int (net->router, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (net->router, ZMQ_CURVE_SECRETKEY, net->keys.secret_key,
                      PR_KEY);
    }
  net->bound = zmq_bind (net->router, net->listen) == 0;
  return net->bound ? PR_OK : PR_ENET;
}

static int
open_router (struct pr_net *net)
{
  int64_t max = PR_MAX_SIZE;

  net->router = zmq_socket (net->ctx, ZMQ_ROUTER);
  if (!net->router)
    return PR_ENET;
  set_common (net->router);
  zmq_setsockopt (net->router, ZMQ_MAXMSGSIZE, &max, sizeof max);
  set_int (net->router, ZMQ_RCVHWM, net->queue);
  if (*net->keys.secret_key && zap_open (&net->zap, net->ctx))
    return PR_ENET;
  return bind_router (net);
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
  set_common (socket);
  set_int (socket, ZMQ_IMMEDIATE, 1);
  set_int (socket, ZMQ_SNDHWM, net->queue);
  set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  if (*server_key)
    {
      zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, server_key, PR_KEY);
      zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, net->keys.public_key,
                      PR_KEY);
      zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, net->keys.secret_key,
                      PR_KEY);
    }
  snprintf (url, sizeof url, "tcp://%s", address);
  if (zmq_connect (socket, url) == 0)
    return socket;
  zmq_close (socket);
  return NULL;
}

static void
close_dealers (struct peer *peer)
{
  for (int k = 0; k < SERVER_KEYS; k++)
    {
      if (peer->dealer[k])
        zmq_close (peer->dealer[k]);
      peer->dealer[k] = NULL;
    }
}

static void
free_peer (struct peer *peer)
{
  void *item;

  close_dealers (peer);
  while (rg_pop (&peer->queue, &item, 0) == BS_OK)
    free (item);
  free (peer->pending);
  rg_fini (&peer->queue);
  free (peer);
}

static void
open_peers (struct pr_net *net)
{
  for (int i = 0; i < net->peers;)
    {
      struct peer *p = net->peer[i];

      if (p->gone)
        {
          free_peer (p);
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

static void
apply_keys (struct pr_net *net)
{
  net->rekey = 0;
  for (int i = 0; i < net->peers; i++)
    close_dealers (net->peer[i]);
  zap_accept (&net->zap, net->keys.public_key, net->keys.other_key);
  if (net->bound)
    zmq_unbind (net->router, net->listen);
  net->bound = 0;
}

/* Returns 1 when the message went into a socket.  */
static int
send_held (struct peer *peer, const struct held *held)
{
  for (int k = 0; k < SERVER_KEYS; k++)
    if (peer->dealer[k]
        && zmq_send (peer->dealer[k], held->data, (size_t)held->size,
                     ZMQ_DONTWAIT)
               >= 0)
      return 1;
  return 0;
}

static void
flush_peer (struct pr_net *net, struct peer *peer, int64_t now_ms)
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

/* A message is two frames, the sender's routing id and the text; any other
   number of frames is malformed.  */
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

/* Called with the lock held: opens, closes, flushes, and lists what to wait
   for.  */
static int
prepare (struct pr_net *net, zmq_pollitem_t *item)
{
  int n = FIXED_ITEMS;
  int64_t now_ms = bs_now_ms (&net->clock);

  if (net->rekey)
    apply_keys (net);
  if (!net->bound)
    bind_router (net);
  open_peers (net);
  item[0] = (zmq_pollitem_t){ net->router, 0, ZMQ_POLLIN, 0 };
  item[1] = (zmq_pollitem_t){ NULL, net->wake_fd, ZMQ_POLLIN, 0 };
  item[2] = item[1];
  if (net->zap.socket)
    item[2] = (zmq_pollitem_t){ net->zap.socket, 0, ZMQ_POLLIN, 0 };
  for (int i = 0; i < net->peers; i++)
    {
      struct peer *p = net->peer[i];

      flush_peer (net, p, now_ms);
      for (int k = 0; p->pending && k < SERVER_KEYS; k++)
        if (p->dealer[k])
          item[n++] = (zmq_pollitem_t){ p->dealer[k], 0, ZMQ_POLLOUT, 0 };
    }
  return n;
}

static void
take_in (struct pr_net *net, const zmq_pollitem_t *item,
         struct pr_message *message)
{
  uint64_t ignored;

  if (item[1].revents & ZMQ_POLLIN)
    while (read (net->wake_fd, &ignored, sizeof ignored) < 0 && errno == EINTR)
      continue;
  if (net->zap.socket)
    {
      int refused = zap_answer (&net->zap);

      pthread_mutex_lock (&net->lock);
      net->counts.refused += refused;
      pthread_mutex_unlock (&net->lock);
    }
  if (item[0].revents & ZMQ_POLLIN)
    for (int i = 0; i < RECEIVE_BATCH && receive_message (net, message); i++)
      continue;
}

static void *
net_main (void *arg)
{
  struct pr_net *net = arg;
  struct pr_message *message = calloc (1, sizeof *message);
  zmq_pollitem_t *item
      = calloc (FIXED_ITEMS + SERVER_KEYS * PR_MAX_PEERS, sizeof *item);
  int stop = !message || !item;

  while (!stop)
    {
      int n;

      pthread_mutex_lock (&net->lock);
      n = prepare (net, item);
      stop = net->stop;
      pthread_mutex_unlock (&net->lock);
      if (stop)
        break;
      if (zmq_poll (item, n, POLL_MS) < 0 && errno != EINTR)
        break;
      take_in (net, item, message);
    }
  free (item);
  free (message);
  return NULL;
}

static int
copy_keys (struct pr_key_file *to, const char *public_key,
           const char *secret_key, const char *other_key)
{
  const char *from[] = { public_key, secret_key, other_key };
  char *into[] = { to->public_key, to->secret_key, to->other_key };

  memset (to, 0, sizeof *to);
  for (int i = 0; i < 3; i++)
    if (from[i] && *from[i])
      {
        if (strlen (from[i]) != PR_KEY - 1)
          return PR_EINVAL;
        memcpy (into[i], from[i], PR_KEY);
      }
  return !*to->public_key == !*to->secret_key ? PR_OK : PR_EINVAL;
}

static void
free_sockets (struct pr_net *net)
{
  for (int i = 0; i < net->peers; i++)
    free_peer (net->peer[i]);
  zap_close (&net->zap);
  if (net->router)
    zmq_close (net->router);
  if (net->ctx)
    zmq_ctx_term (net->ctx);
  if (net->wake_fd >= 0)
    close (net->wake_fd);
  pthread_mutex_destroy (&net->lock);
  free (net);
}

static int
start (struct pr_net *net)
{
  net->ctx = zmq_ctx_new ();
  net->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (!net->ctx || net->wake_fd < 0)
    return PR_ENOMEM;
  zmq_ctx_set (net->ctx, ZMQ_MAX_SOCKETS, 4 * PR_MAX_PEERS);
  zap_accept (&net->zap, net->keys.public_key, net->keys.other_key);
  if (open_router (net))
    {
      struct lg_field field[] = { lg_str ("address", net->listen),
                                  lg_str ("reason", zmq_strerror (errno)) };

      lg_log (LG_LISTEN_FAILED, 2, field);
      return PR_ENET;
    }
  return pthread_create (&net->thread, NULL, net_main, net) ? PR_ENOMEM
                                                            : PR_OK;
}

int
pr_new (struct pr_net **out, const struct pr_settings *settings,
        pr_receive *receive, void *arg)
{
  struct pr_net *net;
  int error;

  if (strlen (settings->listen) >= PR_ADDRESS || settings->queue <= 0)
    return PR_EINVAL;
  if (!is_loopback (settings->listen)
      && (!settings->secret_key || !*settings->secret_key))
    return PR_EINVAL;
  net = calloc (1, sizeof *net);
  if (!net)
    return PR_ENOMEM;
  pthread_mutex_init (&net->lock, NULL);
  net->wake_fd = -1;
  net->queue = settings->queue;
  net->clock = bs_clock_system ();
  net->receive = receive;
  net->arg = arg;
  snprintf (net->listen, sizeof net->listen, "tcp://%s", settings->listen);
  error = copy_keys (&net->keys, settings->public_key, settings->secret_key,
                     settings->other_key);
  if (!error)
    error = start (net);
  if (error)
    free_sockets (net);
  else
    *out = net;
  return error;
}

void
pr_free (struct pr_net *net)
{
  if (!net)
    return;
  pthread_mutex_lock (&net->lock);
  net->stop = 1;
  pthread_mutex_unlock (&net->lock);
  wake (net);
  pthread_join (net->thread, NULL);
  free_sockets (net);
}

static struct peer *
find_peer (struct pr_net *net, const char *address)
{
  for (int i = 0; i < net->peers; i++)
    if (!net->peer[i]->gone && !strcmp (net->peer[i]->address, address))
      return net->peer[i];
  return NULL;
}

static int
add_peer (struct pr_net *net, const char *address)
{
  struct peer *p;

  if (strlen (address) >= PR_ADDRESS)
    return PR_EINVAL;
  if (!is_loopback (address) && !*net->keys.secret_key)
    return PR_EINVAL;
  if (net->peers == PR_MAX_PEERS)
    return PR_EFULL;
  p = calloc (1, sizeof *p);
  if (!p)
    return PR_ENOMEM;
  if (rg_init (&p->queue, (unsigned)net->queue))
    {
      free (p);
      return PR_ENOMEM;
    }
  snprintf (p->address, PR_ADDRESS, "%s", address);
  net->peer[net->peers++] = p;
  return PR_OK;
}

static int
listed (const char *const *address, int count, const char *wanted)
{
  for (int i = 0; i < count; i++)
    if (!strcmp (address[i], wanted))
      return 1;
  return 0;
}

int
pr_peers (struct pr_net *net, const char *const *address, int count)
{
  int error = PR_OK;

  pthread_mutex_lock (&net->lock);
  for (int i = 0; i < net->peers; i++)
    if (!listed (address, count, net->peer[i]->address))
      net->peer[i]->gone = 1;
  for (int i = 0; i < count; i++)
    if (!find_peer (net, address[i]))
      {
        int e = add_peer (net, address[i]);

        error = error ? error : e;
      }
  pthread_mutex_unlock (&net->lock);
  wake (net);
  return error;
}

static int
queue_copy (struct pr_net *net, struct peer *peer, const char *data, int size)
{
  struct held *held = malloc (sizeof *held + (size_t)size);

  if (!held)
    return PR_ENOMEM;
  held->at_ms = bs_now_ms (&net->clock);
  held->size = size;
  memcpy (held->data, data, (size_t)size);
  if (rg_push (&peer->queue, held) == BS_OK)
    return PR_OK;
  net->counts.dropped++;
  free (held);
  return PR_EFULL;
}

int
pr_send (struct pr_net *net, const char *address,
         const struct pr_message *message)
{
  int found = 0, error = PR_OK, size;
  char *data;

  size = pr_encode (message, &data);
  if (size < 0)
    return size;
  pthread_mutex_lock (&net->lock);
  for (int i = 0; i < net->peers; i++)
    {
      struct peer *p = net->peer[i];
      int e;

      if (p->gone || (address && strcmp (p->address, address) != 0))
        continue;
      found = 1;
      e = queue_copy (net, p, data, size);
      error = error ? error : e;
    }
  pthread_mutex_unlock (&net->lock);
  wake (net);
  free (data);
  return found ? error : PR_ENOPEER;
}

int
pr_keys (struct pr_net *net, const char *public_key, const char *secret_key,
         const char *other_key)
{
  struct pr_key_file keys;
  int error = copy_keys (&keys, public_key, secret_key, other_key);

  if (error)
    return error;
  pthread_mutex_lock (&net->lock);
  if (!*keys.secret_key != !*net->keys.secret_key)
    error = PR_EINVAL;
  else if (memcmp (&keys, &net->keys, sizeof keys) != 0)
    {
      net->keys = keys;
      net->rekey = 1;
    }
  pthread_mutex_unlock (&net->lock);
  wake (net);
  return error;
}

void
pr_count (struct pr_net *net, struct pr_counts *out)
{
  pthread_mutex_lock (&net->lock);
  *out = net->counts;
  pthread_mutex_unlock (&net->lock);
}
