#pragma once

/** A server for tests that answers with given bytes, and a collection of sound
    and broken HTTP responses. */

#include "scripted_stand_in/answer/cr_AnswerForms.h"
#include "scripted_stand_in/server/cr_ScriptedServer.h"
