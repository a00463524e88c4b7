#pragma once

/** JSON-RPC 2.0 by libjsonrpccpp, without a transport: calls become text and
    text becomes answers. Built as C++14, which the library's headers need; this
    header is accepted by C++14 and later.

    @see RpcServer, EncodeRpcCall */

#include "cr_rpc/rpc/cr_RpcClient.h"
#include "cr_rpc/rpc/cr_RpcServer.h"
