/** Messages and effects of the placement of one service's requests. */
import {type GrantResult, type Observation} from '../dispatch/types.js';
import {type RoutedService, type TargetRecord} from '../routing/types.js';
import {type LoadFigures} from './target-view.js';
import {type SentPrompt} from './prefix-cache-estimate.js';
import {type OutgoingMessage, type PeerMessage} from './peer-messages.js';
import {type LastDecline, type PlacementEffort} from './reservations.js';
import {type QueueSnapshot} from './service-queue.js';
import {type Precedence} from './start-limits.js';
import {type UnavailableTargets} from './target-choice.js';
import {type PlacementRequest} from './types.js';

/** Load figures for all requests of a target, as it reported them in a response. */
export type ObservedLoad = LoadFigures & {
	readonly target: string;
	readonly ageMs: number;
};

/** A target whose responses report that it is leaving. `bornMs` identifies its process instance. */
export type LeavingTarget = {readonly target: string; readonly bornMs: number};

export type PlacementMessage =
	| {readonly kind: 'service'; readonly service: RoutedService}
	| {readonly kind: 'target'; readonly target: TargetRecord}
	| {readonly kind: 'target-gone'; readonly id: string}
	| {readonly kind: 'data-centres-out'; readonly names: ReadonlySet<string>}
	/** All target entries were read from the store, or a check found no change of them. */
	| {readonly kind: 'targets-current'}
	| {readonly kind: 'ask'; readonly request: PlacementRequest}
	| {readonly kind: 'withdraw'; readonly requestId: string}
	| {readonly kind: 'end'; readonly grantId: string; readonly target: string; readonly result: GrantResult}
	| {readonly kind: 'observe'; readonly grantId: string; readonly target: string; readonly observation: Observation}
	/** Another VM sent a prompt to a target. */
	| {readonly kind: 'sent-elsewhere'; readonly sent: SentPrompt}
	/** Load figures that targets reported to another VM. */
	| {readonly kind: 'observed-elsewhere'; readonly loads: readonly ObservedLoad[]}
	/** A target reported to another VM that it is leaving. */
	| {readonly kind: 'leaving-elsewhere'; readonly leaving: LeavingTarget}
	/** All connections to a target broke, or none could be opened. */
	| {readonly kind: 'unreachable'; readonly target: string}
	/** A reservation message from another VM. */
	| {readonly kind: 'peer'; readonly from: string; readonly message: PeerMessage}
	| {readonly kind: 'tick'};

/** `no-target`: no target is left that the request can be sent to. `too-late`: the request was not started in time. `no-turn`: the request would not be dispatched before its caller gives up. */
export type PlacementRejection = 'no-target' | 'too-late' | 'no-turn';

/** Usage of a request's team through all VMs, as known here, and the usage beyond which its requests yield, for the log. */
export type TeamFigures = {readonly team: string; readonly usage: number; readonly shareUsage: number};

export type PlacementEffect =
	/** A message that is sent to another VM without delay and that may be lost. */
	| ({readonly kind: 'tell-peer'} & OutgoingMessage)
	| {readonly kind: 'grant'; readonly request: PlacementRequest; readonly grantId: string; readonly target: TargetRecord; readonly details: PlacementDetails; readonly teamFigures: TeamFigures; readonly effort: PlacementEffort; readonly queue?: QueueSnapshot}
	| {
		readonly kind: 'reject';
		readonly request: PlacementRequest;
		readonly reason: PlacementRejection;
		readonly retryAfterMs: number;
		readonly precedence: Precedence;
		readonly teamFigures: TeamFigures;
		readonly effort: PlacementEffort;
		/** State of the queue when the request entered it. */
		readonly queue?: QueueSnapshot;
		readonly unavailable?: UnavailableTargets;
		/** Figures of the last owner that declined a reservation for the request, in a large fleet. */
		readonly lastDecline?: LastDecline | undefined;
	};

/** Figures on which a placement was decided, for the log. */
export type PlacementDetails = {
	/** Predicted milliseconds until the first token. */
	readonly predictedMs: number;
	/** Prompt tokens that are assumed to be in the target's prefix cache. */
	readonly keptTokens: number;
	/** Requests of this VM that run at the target. `othersRunning` counts the requests of the other VMs there, by the last reports. */
	readonly running: number;
	readonly othersRunning: number;
	readonly isCold: boolean;
	/** Milliseconds since this VM received the target's last heartbeat. */
	readonly heartbeatAgeMs: number;
	readonly waitedMs: number;
	/** Target from which the cached prefix of the prompt is copied, if any. */
	readonly copyFrom: TargetRecord | undefined;
	/** Whether the request yielded to others: its team was beyond its share, it was late, or more urgent requests had to wait. */
	readonly givesWay: boolean;
};
