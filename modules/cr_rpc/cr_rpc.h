#pragma once

/** JSON-RPC 2.0 without a transport, based on libjsonrpccpp: encodes and
   decodes the text of requests and responses. Built as C++14, which the
   library's headers need; this header compiles as C++14 and later.

    @see RpcServer, EncodeRpcCall */

#include "cr_rpc/rpc/cr_RpcClient.h"
#include "cr_rpc/rpc/cr_RpcServer.h"
