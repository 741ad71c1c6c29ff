/* A server on loopback that reads a request on each connection, answers it
   with a fixed text and closes the connection.  */
#ifndef TESTS_RAW_SERVER_H
#define TESTS_RAW_SERVER_H

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct raw_server
{
  GThread *thread;
  int listener;
  char address[40];
  const char *text; /* the answer; "": none */
};

static inline void *
raw_server_main (void *arg)
{
  struct raw_server *s = arg;
  char buf[4096];
  int fd;

  while ((fd = accept (s->listener, NULL, NULL)) >= 0)
    {
      if (recv (fd, buf, sizeof buf, 0) > 0)
        (void)!send (fd, s->text, strlen (s->text), MSG_NOSIGNAL);
      close (fd);
    }
  return NULL;
}

/* Starts S, which answers TEXT.  Returns 0, or -1 without a socket.  */
static inline int
raw_server_start (struct raw_server *s, const char *text)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t size = sizeof a;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  s->text = text;
  s->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (bind (s->listener, (struct sockaddr *)&a, sizeof a)
      || listen (s->listener, 4)
      || getsockname (s->listener, (struct sockaddr *)&a, &size))
    return -1;
  snprintf (s->address, sizeof s->address, "127.0.0.1:%d", ntohs (a.sin_port));
  s->thread = g_thread_new ("server", raw_server_main, s);
  return 0;
}

static inline void
raw_server_end (struct raw_server *s)
{
  shutdown (s->listener, SHUT_RDWR);
  g_thread_join (s->thread);
  close (s->listener);
}

#endif
