#ifndef GV_NODECONF_H
#define GV_NODECONF_H

#include "settings.h"

typedef struct {
    gv_str_t name;
    gv_str_t dc;
    gv_str_t region;
    gv_str_t addr; /* peer address, "127.0.0.1:7001" */
} gv_peer_conf_t;

/* A daemon's own settings file. */
typedef struct {
    gv_str_t name; /* of the entry host */
    gv_str_t dc;
    gv_str_t region;
    gv_str_t http_addr; /* "127.0.0.1:8001" */
    gv_str_t peer_addr;
    gv_str_t platform_addr;
    gv_peer_conf_t *peers; /* the other entry hosts */
    int n_peers;
    int workers;   /* exchange worker threads */
    int memory_mb; /* of this process */
    int max_fds;   /* descriptors of this process */
} gv_nodeconf_t;

int GvNodeConf_Parse(const char *file, gv_str_t yaml, gv_nodeconf_t *conf,
                     gv_problems_t *problems);
int GvNodeConf_Load(const char *file, gv_nodeconf_t *conf,
                    gv_problems_t *problems);
void GvNodeConf_Clear(gv_nodeconf_t *conf);

#endif
