#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/body.h"
#include "net/quota.h"
#include "skr/base.h"
#include "skr/serve.h"

enum
{
  MAX_HEAD_BYTES = 32 * 1024,   /* request line and headers */
  INITIAL_BODY_BYTES = 1024,    /* the buffer doubles from this size */
  SMALL_BODY_BYTES = 16 * 1024, /* of a body that each connection may hold */
  /* For larger bodies of all connections together: bytes for each of
     max_connections, and at least so many bodies of the largest size.  */
  LARGE_BODY_BYTES = 16 * 1024,
  LARGE_BODIES = 4,
  /* Bytes that are read of a body which is not kept, so that the refusal
     reaches a client that is still sending; then the connection is closed. */
  MAX_DISCARDED_BYTES = 4 * 1024 * 1024,
  /* Bytes of a connection that the kernel receives before they are read; it
     may use twice as much.  */
  RECEIVE_BUFFER_BYTES = 16 * 1024,
  /* Connections that wait to be accepted, at most; no more than
     max_connections.  */
  BACKLOG = 512,
  /* Part of the connections, 1 in so many, that is kept free for those to
     come while others are closed for them.  */
  SPARE_SHARE = 8
};

/* A connection and what it holds.  */
struct client
{
  struct qt_conn quota;
  int fd;
  struct hs_exchange *exchange; /* its present one, or NULL */
};

struct hs_server
{
  struct hs_config config;
  struct MHD_Daemon *daemon;
  int port;
  atomic_int in_progress, unanswered, draining;
  int listener; /* its listening socket, which is the daemon's; -1: closed */
  pthread_mutex_t lock; /* protects QUOTA, connections and bodies */
  struct qt_quota quota;
  struct bs_clock clock;
  atomic_int_fast64_t truncated;
};

struct hs_exchange
{
  struct hs_server *server;
  struct MHD_Connection *connection;
  struct client *client; /* that owns CONNECTION */
  struct hs_request request;
  struct bd_body body;
  size_t discarded;              /* bytes of a body that is not kept */
  struct MHD_Response *response; /* set by hs_answer */
  int status;
  int is_unwanted;    /* config.wants_body has refused its body */
  int handler_called; /* the request was passed to config.handle */
};

const char *
hs_strerror (int error)
{
  switch ((enum hs_error)error)
    {
    case HS_OK:
      return "success";
    case HS_EINVAL:
      return "bad address or TLS material";
    case HS_ENOMEM:
      return "out of memory";
    case HS_EBIND:
      return "the address could not be bound";
    }
  return "unknown error";
}

static const char *
find_header (struct MHD_Connection *c, const char *name)
{
  return MHD_lookup_connection_value (c, MHD_HEADER_KIND, name);
}

static void
set_peer_address (struct hs_exchange *ex)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      ex->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const struct sockaddr *sa = info ? info->client_addr : NULL;

  if (sa && sa->sa_family == AF_INET)
    inet_ntop (AF_INET,
               &((const struct sockaddr_in *)(const void *)sa)->sin_addr,
               ex->request.peer, sizeof ex->request.peer);
  else if (sa && sa->sa_family == AF_INET6)
    inet_ntop (AF_INET6,
               &((const struct sockaddr_in6 *)(const void *)sa)->sin6_addr,
               ex->request.peer, sizeof ex->request.peer);
}

/* Closes C, which was given up.  Its thread finds the end of the stream.  The
   descriptor is open until on_connection removes C.  */
static void
shut_down (struct qt_conn *c)
{
  if (c)
    shutdown (((struct client *)c)->fd, SHUT_RDWR);
}

static void
open_connection (struct hs_server *hs, struct MHD_Connection *connection,
                 void **context)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct client *c = calloc (1, sizeof *c);

  *context = c;
  if (!c)
    return;
  c->fd = info->connect_fd;
  pthread_mutex_lock (&hs->lock);
  shut_down (qt_open (&hs->quota, &c->quota));
  pthread_mutex_unlock (&hs->lock);
}

static void
on_connection (void *arg, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct hs_server *hs = arg;
  struct client *c = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      open_connection (hs, connection, context);
      return;
    }
  if (!c)
    return;
  pthread_mutex_lock (&hs->lock);
  qt_close (&hs->quota, &c->quota);
  pthread_mutex_unlock (&hs->lock);
  free (c);
  *context = NULL;
}

static struct client *
find_client (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info ? info->socket_context : NULL;
}

static struct hs_exchange *
new_exchange (struct hs_server *hs, struct MHD_Connection *connection,
              const char *method, const char *path)
{
  struct client *client = find_client (connection);
  struct hs_exchange *ex = client ? calloc (1, sizeof *ex) : NULL;

  if (!ex)
    return NULL;
  ex->server = hs;
  ex->connection = connection;
  ex->client = client;
  pthread_mutex_lock (&hs->lock);
  client->exchange = ex;
  qt_head (&hs->quota, &client->quota);
  pthread_mutex_unlock (&hs->lock);
  ex->request.method = method;
  ex->request.path = path;
  ex->request.authorization = find_header (connection, "Authorization");
  ex->request.idempotency_key = find_header (connection, "Idempotency-Key");
  ex->request.idempotency_attempt
      = find_header (connection, "Idempotency-Attempt");
  ex->request.if_match = find_header (connection, "If-Match");
  set_peer_address (ex);
  ex->is_unwanted
      = hs->config.wants_body && !hs->config.wants_body (hs->config.arg, ex);
  return ex;
}

static int
keeps_body (const struct hs_exchange *ex)
{
  return !ex->is_unwanted && !ex->request.too_large && !ex->request.dropped;
}

static void
drop_body (struct hs_exchange *ex)
{
  qt_release (&ex->server->quota, &ex->client->quota);
  bd_fini (&ex->body);
  ex->request.body_size = 0;
}

/* Makes room for a body of SIZE bytes.  Drops bodies that cost more, perhaps
   this one, while there is not enough memory for all.  Returns 0 if it was
   dropped.  */
static int
reserve_body (struct hs_exchange *ex, size_t size)
{
  struct hs_server *hs = ex->server;
  size_t capacity = bd_capacity_for (&ex->body, size, INITIAL_BODY_BYTES,
                                     hs->config.max_body + 1);
  struct qt_conn *victim = NULL;

  if (capacity <= ex->body.capacity)
    return 1;
  while (capacity > SMALL_BODY_BYTES && victim != &ex->client->quota
         && (victim = qt_hold (&hs->quota, &ex->client->quota, capacity,
                               bs_now_ms (&hs->clock))))
    {
      struct hs_exchange *other = ((struct client *)victim)->exchange;

      other->request.dropped = 1;
      drop_body (other);
    }
  if (victim || bd_resize (&ex->body, capacity))
    {
      ex->request.dropped = 1;
      drop_body (ex);
      return 0;
    }
  return 1;
}

static void
keep_bytes (struct hs_exchange *ex, const char *data, size_t size)
{
  size_t need = ex->request.body_size + size + 1;

  if (need > ex->server->config.max_body + 1)
    {
      ex->request.too_large = 1;
      drop_body (ex);
      return;
    }
  if (!reserve_body (ex, need))
    return;
  memcpy (ex->body.data + ex->request.body_size, data, size);
  ex->request.body_size += size;
  ex->body.data[ex->request.body_size] = '\0';
}

/* Takes SIZE bytes of the body.  Returns 0 if the connection is to be
   closed.  */
static int
append_body (struct hs_exchange *ex, const char *data, size_t size)
{
  pthread_mutex_lock (&ex->server->lock);
  if (keeps_body (ex))
    keep_bytes (ex, data, size);
  else
    ex->discarded += size;
  pthread_mutex_unlock (&ex->server->lock);
  return ex->discarded <= MAX_DISCARDED_BYTES;
}

/* Passes the whole request to the handler.  Returns MHD_NO if its connection
   was given up meanwhile, so that its client knows of no answer.  */
static enum MHD_Result
handle (struct hs_server *hs, struct hs_exchange *ex)
{
  int may_begin;

  pthread_mutex_lock (&hs->lock);
  may_begin = qt_begin (&hs->quota, &ex->client->quota);
  pthread_mutex_unlock (&hs->lock);
  if (!may_begin)
    return MHD_NO;
  ex->handler_called = 1;
  atomic_fetch_add (&hs->in_progress, 1);
  atomic_fetch_add (&hs->unanswered, 1);
  ex->request.body = ex->body.data ? ex->body.data : "";
  MHD_suspend_connection (ex->connection);
  hs->config.handle (hs->config.arg, ex);
  return MHD_YES;
}

static enum MHD_Result
on_access (void *arg, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *data,
           size_t *size, void **context)
{
  struct hs_server *hs = arg;
  struct hs_exchange *ex = *context;

  (void)version;
  if (!ex)
    {
      *context = ex = new_exchange (hs, connection, method, path);
      return ex ? MHD_YES : MHD_NO;
    }
  if (ex->response)
    return MHD_queue_response (connection, (unsigned)ex->status, ex->response);
  if (*size)
    {
      if (!append_body (ex, data, *size))
        return MHD_NO;
      *size = 0;
      return MHD_YES;
    }
  return ex->handler_called ? MHD_YES : handle (hs, ex);
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct hs_server *hs = arg;
  struct hs_exchange *ex = *context;

  (void)connection;
  if (!ex)
    return;
  if (ex->handler_called && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    atomic_fetch_add (&hs->truncated, 1);
  if (ex->handler_called)
    atomic_fetch_sub (&hs->in_progress, 1);
  if (ex->response)
    MHD_destroy_response (ex->response);
  pthread_mutex_lock (&hs->lock);
  ex->client->exchange = NULL;
  drop_body (ex);
  pthread_mutex_unlock (&hs->lock);
  free (ex);
  *context = NULL;
}

static int
parse_address (const char *text, struct sockaddr_in *out)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = strrchr (text, ':');
  char *end;
  long port;

  if (!colon || (size_t)(colon - text) >= sizeof ip)
    return HS_EINVAL;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  port = strtol (colon + 1, &end, 10);
  if (*end || end == colon + 1 || port < 0 || port > UINT16_MAX)
    return HS_EINVAL;
  *out = (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port) };
  return inet_pton (AF_INET, ip, &out->sin_addr) == 1 ? HS_OK : HS_EINVAL;
}

static int
count_backlog (const struct hs_config *config)
{
  return config->max_connections < BACKLOG ? config->max_connections : BACKLOG;
}

static struct MHD_Daemon *
start_daemon (struct hs_server *hs, const struct sockaddr_in *address)
{
  const struct hs_config *c = &hs->config;
  struct MHD_OptionItem tls[]
      = { { MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)(uintptr_t)c->tls_cert },
          { MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)(uintptr_t)c->tls_key },
          { MHD_OPTION_END, 0, NULL } };
  struct MHD_OptionItem none[] = { { MHD_OPTION_END, 0, NULL } };
  unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME
                   | (c->tls_cert ? MHD_USE_TLS : 0);

  return MHD_start_daemon (
      flags, 0, NULL, NULL, on_access, hs, MHD_OPTION_SOCK_ADDR, address,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      (unsigned)count_backlog (c), MHD_OPTION_THREAD_POOL_SIZE,
      (unsigned)c->threads, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)c->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)c->idle_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)MAX_HEAD_BYTES, MHD_OPTION_NOTIFY_COMPLETED, on_completed, hs,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, hs, MHD_OPTION_ARRAY,
      c->tls_cert ? tls : none, MHD_OPTION_END);
}

/* Bounds the bytes that the kernel receives for connections of LISTENER, which
   inherit it.  Without it the kernel may hold megabytes of each.  */
static void
limit_unread (int listener)
{
  int size = RECEIVE_BUFFER_BYTES;

  if (listener >= 0)
    setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
}

static int
count_spare (const struct hs_config *config)
{
  int spare = config->max_connections / SPARE_SHARE;

  if (spare < config->threads)
    spare = config->threads;
  /* Of very few connections none can be spared.  */
  return spare < config->max_connections ? spare : 0;
}

static size_t
large_body_bytes (const struct hs_config *config)
{
  size_t by_connections = (size_t)config->max_connections * LARGE_BODY_BYTES;
  size_t least = (config->max_body + 1) * LARGE_BODIES;

  return by_connections > least ? by_connections : least;
}

int
hs_new (struct hs_server **out, const struct hs_config *config)
{
  struct sockaddr_in address;
  const union MHD_DaemonInfo *info;
  struct hs_server *hs;

  if (parse_address (config->listen, &address) != HS_OK)
    return HS_EINVAL;
  hs = calloc (1, sizeof *hs);
  if (!hs)
    return HS_ENOMEM;
  hs->config = *config;
  pthread_mutex_init (&hs->lock, NULL);
  hs->clock = bs_clock_system ();
  qt_init (&hs->quota, config->max_connections - count_spare (config),
           large_body_bytes (config));
  /* The first request may be handled before MHD_start_daemon returns.  */
  *out = hs;
  hs->daemon = start_daemon (hs, &address);
  if (!hs->daemon)
    {
      *out = NULL;
      pthread_mutex_destroy (&hs->lock);
      free (hs);
      return HS_EBIND;
    }
  info = MHD_get_daemon_info (hs->daemon, MHD_DAEMON_INFO_BIND_PORT);
  hs->port = info ? info->port : ntohs (address.sin_port);
  info = MHD_get_daemon_info (hs->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  hs->listener = info ? info->listen_fd : -1;
  limit_unread (hs->listener);
  return HS_OK;
}

int
hs_port (const struct hs_server *hs)
{
  return hs->port;
}

const struct hs_request *
hs_get_request (const struct hs_exchange *ex)
{
  return &ex->request;
}

const char *
hs_query (struct hs_exchange *ex, const char *name)
{
  return MHD_lookup_connection_value (ex->connection, MHD_GET_ARGUMENT_KIND,
                                      name);
}

const char *
hs_header (struct hs_exchange *ex, const char *name)
{
  return find_header (ex->connection, name);
}

void
hs_answer (struct hs_exchange *ex, const struct hs_answer *answer)
{
  struct hs_server *hs = ex->server;
  const char *body = answer->body ? answer->body : "";
  struct MHD_Response *r = MHD_create_response_from_buffer (
      strlen (body), (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

  if (!r)
    abort ();
  if (answer->content_type)
    MHD_add_response_header (r, "Content-Type", answer->content_type);
  for (int i = 0; i < HS_MAX_HEADERS && answer->header[i].name; i++)
    MHD_add_response_header (r, answer->header[i].name,
                             answer->header[i].value);
  if (atomic_load (&hs->draining))
    MHD_add_response_header (r, "Connection", "close");
  ex->status = answer->status;
  ex->response = r;
  pthread_mutex_lock (&hs->lock);
  qt_answered (&hs->quota, &ex->client->quota);
  drop_body (ex);
  pthread_mutex_unlock (&hs->lock);
  MHD_resume_connection (ex->connection);
  /* Last, as hs_free must find no connection suspended.  */
  atomic_fetch_sub (&hs->unanswered, 1);
}

void
hs_drain (struct hs_server *hs)
{
  atomic_store (&hs->draining, 1);
}

int
hs_in_progress (struct hs_server *hs)
{
  return atomic_load (&hs->in_progress);
}

int
hs_unanswered (struct hs_server *hs)
{
  return atomic_load (&hs->unanswered);
}

/* Whether a connection waits to be accepted.  It is reset if the process ends
   or the listening socket is closed before.  */
static int
is_connection_waiting (const struct hs_server *hs)
{
  struct pollfd p = { .fd = hs->listener, .events = POLLIN };

  return poll (&p, 1, 0) == 1 && p.revents & POLLIN;
}

int
hs_connections (struct hs_server *hs)
{
  /* A connection that is accepted between both is counted twice, not
     missed.  */
  int waiting = is_connection_waiting (hs);
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (hs->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

  return waiting + (info ? (int)info->num_connections : 0);
}

/* Accepts the connections that wait at FD, which would be reset when it is
   closed.  */
static void
accept_waiting (struct hs_server *hs, MHD_socket fd)
{
  struct sockaddr_storage peer;
  socklen_t size = sizeof peer;
  int client;

  while ((client = accept4 (fd, (struct sockaddr *)&peer, &size,
                            SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      MHD_add_connection (hs->daemon, client, (struct sockaddr *)&peer, size);
      size = sizeof peer;
    }
}

void
hs_stop_listening (struct hs_server *hs)
{
  MHD_socket fd = MHD_quiesce_daemon (hs->daemon);

  hs->listener = -1;
  if (fd == MHD_INVALID_SOCKET)
    return;
  accept_waiting (hs, fd);
  close (fd);
}

void
hs_count (struct hs_server *hs, struct hs_counts *out)
{
  pthread_mutex_lock (&hs->lock);
  *out = (struct hs_counts){ .open = hs->quota.open,
                             .closed = hs->quota.closed,
                             .held = hs->quota.held,
                             .dropped = hs->quota.dropped };
  pthread_mutex_unlock (&hs->lock);
}

int64_t
hs_count_truncated (struct hs_server *hs)
{
  return atomic_load (&hs->truncated);
}

void
hs_free (struct hs_server *hs)
{
  MHD_stop_daemon (hs->daemon);
  pthread_mutex_destroy (&hs->lock);
  free (hs);
}
