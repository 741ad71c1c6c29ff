#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "serve.h"

enum
{
  POLL_INTERVAL_MS = 10,
  MAX_CONNECTIONS = 2000
};

/* State of a connection.  */
struct connection_state
{
  int number;  /* in the order of opening */
  int counted; /* the variable of sv_request.counted */
};

/* The body of a request while it is received.  */
struct request_body
{
  char *body;
  size_t size;
  int too_large;
};

static int
is_silent (struct sv_server *sv,
           const struct connection_state *connection_state)
{
  return atomic_load (&sv->muted)
         || connection_state->number < atomic_load (&sv->silent_below);
}

/* Waits until the client closes the connection or the server stops.  */
static void
wait_for_close (struct sv_server *sv, struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct pollfd p = { info->connect_fd, POLLRDHUP, 0 };

  atomic_fetch_add (&sv->silenced, 1);
  while (!atomic_load (&sv->stopping))
    {
      if (poll (&p, 1, POLL_INTERVAL_MS) > 0
          && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)))
        return;
    }
}

static enum MHD_Result
send_reply (struct sv_server *sv, struct MHD_Connection *connection,
            struct sv_reply *reply)
{
  struct MHD_Response *response;
  enum MHD_Result result;
  char seconds[16];

  if (reply->json)
    {
      reply->raw = json_dumps (reply->json, JSON_COMPACT);
      reply->raw_size = reply->raw ? strlen (reply->raw) : 0;
    }
  atomic_fetch_add (&sv->bytes_out, (long)reply->raw_size);
  response = MHD_create_response_from_buffer (reply->raw_size, reply->raw,
                                              MHD_RESPMEM_MUST_FREE);
  reply->raw = NULL;
  if (reply->json)
    MHD_add_response_header (response, "Content-Type", "application/json");
  if (reply->retry_after_s)
    {
      snprintf (seconds, sizeof seconds, "%d", reply->retry_after_s);
      MHD_add_response_header (response, "Retry-After", seconds);
    }
  result = MHD_queue_response (connection, (unsigned)reply->status, response);
  MHD_destroy_response (response);
  return result;
}

/* Runs the handler and sends its reply.  A silent connection gets none, also
   when it became silent while the handler ran.  */
static enum MHD_Result
handle_request (struct sv_server *sv, struct MHD_Connection *connection,
                struct connection_state *connection_state,
                struct sv_request *request,
                const struct request_body *request_body)
{
  struct sv_reply reply = { .status = MHD_HTTP_OK };
  enum MHD_Result result = MHD_NO;
  int admin = sv_strip_prefix (request->path, "/v1/admin/") != NULL;

  if (!admin && is_silent (sv, connection_state))
    {
      wait_for_close (sv, connection);
      return MHD_NO;
    }
  if (!admin)
    atomic_fetch_add (&sv->bytes_in, (long)request_body->size);
  if (request_body->too_large)
    sv_set_error (&reply, MHD_HTTP_CONTENT_TOO_LARGE, "body is too large");
  else
    sv->handle (sv->arg, request, &reply);
  if (!reply.close && !admin && is_silent (sv, connection_state))
    {
      wait_for_close (sv, connection);
      reply.close = 1;
    }
  if (!reply.close)
    result = send_reply (sv, connection, &reply);
  json_decref (reply.json);
  free (reply.raw);
  return result;
}

static void
append_body (struct request_body *request_body, const char *data, size_t size)
{
  char *new_body;

  if (request_body->too_large || request_body->size + size > SV_MAX_BODY)
    {
      request_body->too_large = 1;
      return;
    }
  new_body = realloc (request_body->body, request_body->size + size + 1);
  if (!new_body)
    {
      request_body->too_large = 1;
      return;
    }
  memcpy (new_body + request_body->size, data, size);
  request_body->body = new_body;
  request_body->size += size;
  new_body[request_body->size] = '\0';
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_size, void **state)
{
  struct sv_server *sv = arg;
  struct request_body *request_body = *state;
  const union MHD_ConnectionInfo *info;
  struct connection_state *connection_state;
  struct sv_request request;

  (void)version;
  if (!request_body)
    {
      *state = calloc (1, sizeof *request_body);
      atomic_fetch_add (&sv->requests_in_progress, *state != NULL);
      return *state ? MHD_YES : MHD_NO;
    }
  if (*data_size)
    {
      append_body (request_body, data, *data_size);
      *data_size = 0;
      return MHD_YES;
    }
  info = MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  connection_state = info->socket_context;
  request = (struct sv_request){ method,
                                 url,
                                 request_body->body ? request_body->body : "",
                                 request_body->size,
                                 connection,
                                 &connection_state->counted };
  return handle_request (sv, connection, connection_state, &request,
                         request_body);
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct sv_server *sv = arg;
  struct request_body *request_body = *state;

  (void)connection;
  (void)code;
  if (!request_body)
    return;
  free (request_body->body);
  free (request_body);
  *state = NULL;
  atomic_fetch_sub (&sv->requests_in_progress, 1);
}

static void
on_connection (void *arg, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct sv_server *sv = arg;
  struct connection_state *connection_state = *context;

  (void)connection;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      connection_state = calloc (1, sizeof *connection_state);
      if (!connection_state)
        abort ();
      connection_state->number = atomic_fetch_add (&sv->next_number, 1);
      *context = connection_state;
      return;
    }
  if (connection_state->counted && sv->closed)
    sv->closed (sv->arg);
  free (connection_state);
  *context = NULL;
}

static int
parse_address (const char *listen, struct sockaddr_in *out)
{
  char ip[SV_ADDRESS], *end;
  const char *colon = strrchr (listen, ':');
  long port;

  if (!colon || (size_t)(colon - listen) >= sizeof ip)
    return SV_EINVAL;
  memcpy (ip, listen, (size_t)(colon - listen));
  ip[colon - listen] = '\0';
  port = strtol (colon + 1, &end, 10);
  if (*end || end == colon + 1 || port < 0 || port > UINT16_MAX)
    return SV_EINVAL;
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, ip, &out->sin_addr) == 1 ? SV_OK : SV_EINVAL;
}

int
sv_init (struct sv_server *sv, const char *listen, sv_handle *handle,
         sv_closed *closed, void *arg)
{
  struct sockaddr_in address;
  const union MHD_DaemonInfo *info;
  char ip[INET_ADDRSTRLEN];

  memset (sv, 0, sizeof *sv);
  sv->handle = handle;
  sv->closed = closed;
  sv->arg = arg;
  if (parse_address (listen, &address) != SV_OK)
    return SV_EINVAL;
  sv->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_USE_POLL | MHD_USE_ITC,
      0, NULL, NULL, on_request, sv, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, sv,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, sv, MHD_OPTION_END);
  if (!sv->daemon)
    return SV_ELISTEN;
  info = MHD_get_daemon_info (sv->daemon, MHD_DAEMON_INFO_BIND_PORT);
  inet_ntop (AF_INET, &address.sin_addr, ip, sizeof ip);
  snprintf (sv->address, sizeof sv->address, "%s:%u", ip,
            (unsigned)info->port);
  return SV_OK;
}

void
sv_fini (struct sv_server *sv)
{
  atomic_store (&sv->stopping, 1);
  MHD_stop_daemon (sv->daemon);
  sv->daemon = NULL;
}

void
sv_silence (struct sv_server *sv)
{
  atomic_store (&sv->silent_below, atomic_load (&sv->next_number));
}

void
sv_set_muted (struct sv_server *sv, int muted)
{
  atomic_store (&sv->muted, muted);
}

int
sv_drain (struct sv_server *sv, int timeout_ms)
{
  while (atomic_load (&sv->requests_in_progress) && timeout_ms > 0)
    {
      usleep (POLL_INTERVAL_MS * 1000);
      timeout_ms -= POLL_INTERVAL_MS;
    }
  return atomic_load (&sv->requests_in_progress);
}

void
sv_announce (const struct sv_server *sv)
{
  printf ("listening %s\n", sv->address);
  fflush (stdout);
}

const char *
sv_header (const struct sv_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

const char *
sv_query (const struct sv_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

int64_t
sv_query_int (const struct sv_request *request, const char *name,
              int64_t absent)
{
  const char *text = sv_query (request, name);

  return text ? strtoll (text, NULL, 10) : absent;
}

void
sv_local_ip (const struct sv_request *request, char out[SV_ADDRESS])
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  getsockname (info->connect_fd, (struct sockaddr *)&address, &size);
  inet_ntop (AF_INET, &address.sin_addr, out, SV_ADDRESS);
}

void
sv_set_error (struct sv_reply *reply, int status, const char *text)
{
  reply->status = status;
  json_decref (reply->json);
  reply->json = json_pack ("{s:s}", "error", text);
}

const char *
sv_strip_prefix (const char *path, const char *prefix)
{
  size_t n = strlen (prefix);

  return strncmp (path, prefix, n) ? NULL : path + n;
}
