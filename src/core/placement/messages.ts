/** Messages and effects of the placement of one service's requests. */
import {type GrantResult, type Observation} from '../dispatch/types.js';
import {type RoutedService, type TargetRecord} from '../routing/types.js';
import {type LoadFigures} from './target-view.js';
import {type SentPrompt} from './prefix-cache-estimate.js';
import {type LastDecline, type OutgoingMessage, type PeerMessage} from './reservations.js';
import {type QueueSnapshot} from './service-queue.js';
import {type UnavailableTargets} from './target-choice.js';
import {type PlacementRequest} from './types.js';

/** What a target said of all its requests in an answer. */
export type ObservedLoad = LoadFigures & {
	readonly target: string;
	readonly ageMs: number;
};

/** A run of a target that leaves, as its answers say. */
export type LeavingTarget = {readonly target: string; readonly bornMs: number};

export type PlacementMessage =
	| {readonly kind: 'service'; readonly service: RoutedService}
	| {readonly kind: 'target'; readonly target: TargetRecord}
	| {readonly kind: 'target-gone'; readonly id: string}
	| {readonly kind: 'data-centres-out'; readonly names: ReadonlySet<string>}
	/** All entries of targets were read, or no change of them was found. */
	| {readonly kind: 'targets-current'}
	| {readonly kind: 'ask'; readonly request: PlacementRequest}
	| {readonly kind: 'withdraw'; readonly requestId: string}
	| {readonly kind: 'end'; readonly grantId: string; readonly target: string; readonly result: GrantResult}
	| {readonly kind: 'observe'; readonly grantId: string; readonly target: string; readonly observation: Observation}
	/** Another VM sent a prompt to a target. */
	| {readonly kind: 'sent-elsewhere'; readonly sent: SentPrompt}
	/** What targets said of their load to another VM. */
	| {readonly kind: 'observed-elsewhere'; readonly loads: readonly ObservedLoad[]}
	/** A target's answers to another VM say that it leaves. */
	| {readonly kind: 'leaving-elsewhere'; readonly leaving: LeavingTarget}
	/** All connections to a target broke, or none could be opened. */
	| {readonly kind: 'unreachable'; readonly target: string}
	/** What another VM says of reservations. */
	| {readonly kind: 'peer'; readonly from: string; readonly message: PeerMessage}
	| {readonly kind: 'tick'};

/** `no-turn`: it could not get its turn while its caller stays. */
export type PlacementRejection = 'no-target' | 'too-late' | 'no-turn';

export type PlacementEffect =
	/** Goes to another VM as soon as possible; it may be lost. */
	| ({readonly kind: 'tell-peer'} & OutgoingMessage)
	| {readonly kind: 'grant'; readonly request: PlacementRequest; readonly grantId: string; readonly target: TargetRecord; readonly details: PlacementDetails; readonly queue?: QueueSnapshot}
	| {
		readonly kind: 'reject';
		readonly request: PlacementRequest;
		readonly reason: PlacementRejection;
		readonly retryAfterMs: number;
		readonly givesWay: boolean;
		/** Where it stood when it began to wait. */
		readonly queue?: QueueSnapshot;
		readonly closed?: UnavailableTargets;
		/** What the last owner that declined it said, in a large fleet. */
		readonly lastDecline?: LastDecline | undefined;
	};

/** The inputs that decided a placement, for the log. */
export type PlacementDetails = {
	/** Predicted milliseconds until the first token. */
	readonly predictedMs: number;
	/** Prompt tokens that the target is taken to keep. */
	readonly keptTokens: number;
	/** Requests of this VM, and of others by its last report, that run there. */
	readonly running: number;
	readonly othersRunning: number;
	readonly isCold: boolean;
	/** Age of the target's last heartbeat here. */
	readonly heartbeatAgeMs: number;
	readonly waitedMs: number;
	/** Target that passes on the prompt parts that it keeps. */
	readonly copyFrom: TargetRecord | undefined;
	/** Whether the team had received its share, so that the request gave way to others. */
	readonly givesWay: boolean;
};
