/// @file cfgbuild.h
/// Builds the active configuration from the merged document and checks every
/// reference in it.
#ifndef KB_PROTOCOL_CFGBUILD_H
#define KB_PROTOCOL_CFGBUILD_H

#include "protocol/json.h"
#include "state/config.h"

/// Build the configuration.
/// @param merged   Object with the sections services, adapters, workspaces and
///                 rules.
/// @param origins  Maps the hash of section and item to the file that set it,
///                 for error messages.
/// @param out      Empty on error.
/// @return  KB_EINVAL if an item is invalid.
kb_status_t cfgb_build (struct json_object *merged, const kb_map_t *origins,
                        uint64_t revision, cfg_config_t *out,
                        kb_error_t *error);

#endif
