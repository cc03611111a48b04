/** What happens to a relay. */

import type { Moment } from "@cardamomglade/common";
import type {
  CallerRequest,
  EngineReport,
  RelayConfig,
  Replica,
  Address,
} from "../types.js";
import type {
  AnswerHead,
  StreamEvent,
  WholeAnswer,
  AttemptFailure,
  RouterEntry,
  Bounds,
} from "./types.js";

/** What happened. */
export type RelayEvent =
  | {
      readonly type: "configRead";
      readonly at: Moment;
      readonly config: RelayConfig;
    }
  | {
      readonly type: "replicasRead";
      readonly at: Moment;
      readonly replicas: readonly Replica[];
    }
  | {
      readonly type: "routersRead";
      readonly at: Moment;
      readonly entries: readonly RouterEntry[];
    }
  | {
      readonly type: "repeatAsked";
      readonly at: Moment;
      readonly from: Address;
      readonly service: string;
    }
  | {
      readonly type: "repeatLent";
      readonly at: Moment;
      readonly from: Address;
      readonly service: string;
    }
  | {
      readonly type: "storeAnswered";
      readonly at: Moment;
      readonly detail: string;
    }
  | {
      readonly type: "storeFailed";
      readonly at: Moment;
      readonly detail: string;
    }
  | {
      readonly type: "requestArrived";
      readonly at: Moment;
      readonly key: string;
      readonly request: CallerRequest;
    }
  | {
      readonly type: "answered";
      readonly at: Moment;
      readonly key: string;
      readonly attempt: number;
      readonly answer: WholeAnswer;
    }
  | {
      readonly type: "streamBegan";
      readonly at: Moment;
      readonly key: string;
      readonly attempt: number;
      readonly head: AnswerHead;
    }
  | {
      readonly type: "eventsArrived";
      readonly at: Moment;
      readonly key: string;
      readonly attempt: number;
      readonly events: readonly StreamEvent[];
    }
  | {
      readonly type: "streamEnded";
      readonly at: Moment;
      readonly key: string;
      readonly attempt: number;
    }
  | {
      readonly type: "attemptFailed";
      readonly at: Moment;
      readonly key: string;
      readonly attempt: number;
      readonly failure: AttemptFailure;
      readonly detail: string;
    }
  | {
      readonly type: "probed";
      readonly at: Moment;
      readonly replica: string;
      readonly sentAt: Moment;
      readonly report: EngineReport | undefined;
      readonly isAnswered: boolean;
    }
  | {
      readonly type: "runCopied";
      readonly at: Moment;
      readonly key: string;
      readonly attempt: number;
      readonly holder: Replica;
      /** Name of the copy; undefined where none was made. */
      readonly handle: string | undefined;
    }
  | {
      readonly type: "partsListed";
      readonly at: Moment;
      readonly replica: string;
      /** Tokens by part; undefined where the engine did not tell. */
      readonly parts: ReadonlyMap<string, number> | undefined;
    }
  | {
      readonly type: "callerLeft";
      readonly at: Moment;
      readonly key: string;
    }
  | { readonly type: "timePassed"; readonly at: Moment }
  | {
      readonly type: "boundsChanged";
      readonly at: Moment;
      readonly bounds: Bounds;
    }
  | { readonly type: "drainStarted"; readonly at: Moment };

/** A fold event of one type. */
export type RelayEventOf<Type extends RelayEvent["type"]> = Extract<
  RelayEvent,
  { readonly type: Type }
>;
