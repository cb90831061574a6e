/** Encodes and decodes the roll-out messages in datagrams between VMs. */
import {type MessageInitShape} from '@bufbuild/protobuf';
import {zeroCounts} from '../../core/rollout/counts.js';
import {
	type Announcement, type EvidenceReport, type RolloutPhase,
} from '../../core/rollout/types.js';
import {
	type PeerDatagram, type PeerDatagramSchema, type RolloutAnnouncement, type RolloutEvidence,
} from '../../gen/jackdawwood/v1/exchange_pb.js';
import {type RolloutMessage} from './types.js';

/** Largest age that is sent, in milliseconds. It is far beyond any age that counts as recent. */
const MAX_AGE_MS = 1_000_000_000;
const PHASES: ReadonlySet<string> = new Set<RolloutPhase>(['trial', 'moving', 'completed', 'rolled-back']);

const isPhase = (phase: string): phase is RolloutPhase => PHASES.has(phase);
const toAge = (ms: number): number => Math.min(MAX_AGE_MS, Math.max(0, Math.round(ms)));

const encodeAnnouncement = ({service, revision, isHeld, isSteppingDown = false, coordinator, ageMs, orderAgeMs, state}: Announcement) => ({
	service, isHeld, isSteppingDown, coordinator, revision: BigInt(revision), order: BigInt(state.order), to: state.to, before: [...state.before], refused: [...state.refused],
	phase: state.phase, share: state.share, counter: state.counter, orderedWallMs: state.orderedWallMs, ageMs: toAge(ageMs), orderAgeMs: toAge(orderAgeMs),
});

const decodeAnnouncement = ({
	service, revision, order, to, before, refused, phase, share, counter, orderedWallMs, isHeld, isSteppingDown, coordinator, ageMs, orderAgeMs,
}: RolloutAnnouncement): readonly Announcement[] => isPhase(phase)
	? [{
		service, isHeld, isSteppingDown, coordinator, ageMs, orderAgeMs, revision: Number(revision), state: {
			order: Number(order), to, before, refused, phase, share, counter, orderedWallMs,
		},
	}]
	: [];

const encodeEvidence = ({service, order, incarnation, sequence, revision, runningBefore, routes}: EvidenceReport) => ({
	service, incarnation, sequence, runningBefore, order: BigInt(order), revision: BigInt(revision), routes: [...routes],
});

const decodeEvidence = ({service, order, incarnation, sequence, revision, runningBefore, routes}: RolloutEvidence): EvidenceReport => ({
	service, incarnation, sequence, runningBefore, order: Number(order), revision: Number(revision),
	routes: routes.map(({route, before, next}) => ({route, before: before ?? zeroCounts, next: next ?? zeroCounts})),
});

/** Returns the fields of a datagram that carry the messages. */
export const encodeRollouts = ({announcements = [], evidence = []}: RolloutMessage): MessageInitShape<typeof PeerDatagramSchema> => ({
	rollouts: announcements.map(announcement => encodeAnnouncement(announcement)),
	evidence: evidence.map(report => encodeEvidence(report)),
});

export const decodeRollouts = ({rollouts, evidence}: PeerDatagram): Required<RolloutMessage> => ({
	announcements: rollouts.flatMap(announcement => decodeAnnouncement(announcement)),
	evidence: evidence.map(report => decodeEvidence(report)),
});
