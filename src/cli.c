#include "cli.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "httpclient.h"

#define TIMEOUT_DEFAULT_S  20
#define TIMEOUT_MAX_S      300
#define RESPONSE_MAX_BYTES (16 * 1024 * 1024)

/* Parses the options shared by all commands and those of this command, extra
   (NULL: none). --help prints the help and exits. Addresses that are not given
   come from the environment. Returns GV_EXIT_OK or GV_EXIT_USAGE. */
int
GvCli_Parse(gv_cli_t *c, const char *params, const char *summary,
            const GOptionEntry *extra, int *argc, char ***argv)
{
    const GOptionEntry shared[] = {
        {"platform", 0, 0, G_OPTION_ARG_STRING, &c->platform,
         "Platform address (default: $GYPSUMVALVE_PLATFORM)", "ADDR"},
        {"entry", 0, 0, G_OPTION_ARG_STRING, &c->entry,
         "Entry host address (default: $GYPSUMVALVE_ENTRY)", "ADDR"},
        {"timeout", 0, 0, G_OPTION_ARG_INT, &c->timeout_s,
         "Give up after this many seconds (default: 20)", "SECONDS"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &c->json, "Print JSON", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GError *error = NULL;
    memset(c, 0, sizeof *c);
    c->timeout_s = TIMEOUT_DEFAULT_S;
    char *text = g_strdup_printf("%s - %s", params, summary);
    GOptionContext *ctx = g_option_context_new(text);
    if (extra != NULL) {
        g_option_context_add_main_entries(ctx, extra, NULL);
    }
    g_option_context_add_main_entries(ctx, shared, NULL);
    bool ok = g_option_context_parse(ctx, argc, argv, &error);
    g_option_context_free(ctx);
    g_free(text);
    if (!ok) {
        int code = GvCli_Usage("%s", error->message);
        g_error_free(error);
        return code;
    }
    if (c->timeout_s < 1 || c->timeout_s > TIMEOUT_MAX_S) {
        return GvCli_Usage("--timeout is from 1 to %d", TIMEOUT_MAX_S);
    }
    if (c->platform == NULL) {
        c->platform = g_strdup(g_getenv("GYPSUMVALVE_PLATFORM"));
    }
    if (c->entry == NULL) {
        c->entry = g_strdup(g_getenv("GYPSUMVALVE_ENTRY"));
    }
    return GV_EXIT_OK;
}

/* Releases the options. */
void
GvCli_Clear(gv_cli_t *c)
{
    g_free(c->platform);
    g_free(c->entry);
    memset(c, 0, sizeof *c);
}

/* Prints a usage error on standard error. Returns GV_EXIT_USAGE. */
int
GvCli_Usage(const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    fputs("gypsumvalve: ", stderr);
    vfprintf(stderr, fmt, ap);
    fputs(" (see --help)\n", stderr);
    va_end(ap);
    return GV_EXIT_USAGE;
}

/* Opens a session with the platform's log, or prints why that failed. Returns
   an exit code. */
int
GvCli_Open(const gv_cli_t *c, gv_operator_t **op)
{
    if (c->platform == NULL) {
        return GvCli_Usage("no platform address: use --platform or "
                           "GYPSUMVALVE_PLATFORM");
    }
    int err = GvOperator_Open(GvStr_C(c->platform), c->timeout_s * 1000, op);
    if (err != GV_OK) {
        fprintf(stderr, "gypsumvalve: cannot read the log of %s: %s\n",
                c->platform,
                err == GV_ENOENT ? "its start is no longer retained and it "
                                   "has no checkpoint"
                                 : Gv_StrError(err));
        return GV_EXIT_UNREACHABLE;
    }
    return GV_EXIT_OK;
}

/* Prints a result as one JSON object. */
static void
print_result(const char *result, int64_t offset, const char *reason)
{
    JsonBuilder *b = json_builder_new();
    json_builder_begin_object(b);
    json_builder_set_member_name(b, "result");
    json_builder_add_string_value(b, result);
    if (offset >= 0) {
        json_builder_set_member_name(b, "offset");
        json_builder_add_int_value(b, offset);
    }
    json_builder_set_member_name(b, "reason");
    json_builder_add_string_value(b, reason);
    json_builder_end_object(b);
    JsonNode *root = json_builder_get_root(b);
    char *text = json_to_string(root, FALSE);
    puts(text);
    g_free(text);
    json_node_unref(root);
    g_object_unref(b);
}

/* Prints that a change was rejected before anything was appended. Returns
   GV_EXIT_REJECTED. */
int
GvCli_Refused(const gv_cli_t *c, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    char *reason = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    if (c->json) {
        print_result("rejected", -1, reason);
    }
    else {
        fprintf(stderr, "rejected: %s\n", reason);
    }
    g_free(reason);
    return GV_EXIT_REJECTED;
}

/* Appends a record, waits until the ledger accepts or rejects it and prints
   the result; `what` describes the change. Releases the payload. Returns an
   exit code. */
int
GvCli_Submit(const gv_cli_t *c, gv_operator_t *op, const char *kind,
             msgpack_sbuffer *payload, const char *what)
{
    gv_verdict_t v;
    int err = GvOperator_Append(op, kind, payload, &v);
    msgpack_sbuffer_destroy(payload);
    if (err != GV_OK) {
        bool unknown = err == GV_ETIMEDOUT;
        const char *reason =
            unknown ? "the answer was lost; the record may still take effect"
                    : "the platform was not reached; nothing was appended";
        if (c->json) {
            print_result(unknown ? "unknown" : "unreachable", -1, reason);
        }
        else {
            fprintf(stderr, "%s: %s\n", unknown ? "unknown" : "unreachable",
                    reason);
        }
        return unknown ? GV_EXIT_UNKNOWN : GV_EXIT_UNREACHABLE;
    }
    bool accepted = v.kind == GV_VERDICT_ACCEPTED;
    if (c->json) {
        print_result(accepted ? "accepted" : "rejected", (int64_t)v.offset,
                     v.reason);
    }
    else if (accepted) {
        printf("accepted at offset %" G_GUINT64_FORMAT ": %s\n", v.offset,
               what);
    }
    else {
        fprintf(stderr, "rejected at offset %" G_GUINT64_FORMAT ": %s\n",
                v.offset, v.reason);
    }
    return accepted ? GV_EXIT_OK : GV_EXIT_REJECTED;
}

/* Parses a response body. Returns NULL unless it is a JSON object. */
static JsonNode *
parse_json_body(const GByteArray *body)
{
    JsonParser *p = json_parser_new();
    JsonNode *root = NULL;
    if (json_parser_load_from_data(p, (const char *)body->data, body->len,
                                   NULL) &&
        json_parser_get_root(p) != NULL &&
        JSON_NODE_HOLDS_OBJECT(json_parser_get_root(p))) {
        root = json_node_copy(json_parser_get_root(p));
    }
    g_object_unref(p);
    return root;
}

/* Fetches a JSON page of the entry host. Returns NULL after printing an error
   if that fails. */
JsonNode *
GvCli_Get(const gv_cli_t *c, const char *path)
{
    gv_http_client_t *http = GvHttp_New();
    gv_http_response_t answer = {0};
    gv_http_request_t rq = {.addr = GvStr_C(c->entry),
                            .method = GV_STR("GET"),
                            .path = GvStr_C(path),
                            .idempotent = true,
                            .timeout_ms = c->timeout_s * 1000,
                            .max_body = RESPONSE_MAX_BYTES};
    JsonNode *root = NULL;
    int err = GvHttp_Do(http, &rq, &answer);
    if (err != GV_OK) {
        fprintf(stderr, "gypsumvalve: entry host %s: %s\n", c->entry,
                Gv_StrError(err));
    }
    else {
        root = answer.status == 200 ? parse_json_body(answer.body) : NULL;
        if (root == NULL) {
            fprintf(stderr, "gypsumvalve: entry host %s: status %d for %s\n",
                    c->entry, answer.status, path);
        }
    }
    GvHttp_ClearResponse(&answer);
    GvHttp_Free(http);
    return root;
}
