/**
 * Model checker: explores all sequences of a model's actions breadth first, up to a
 * depth. Of states with equal keys only the first is expanded, so the trace of a
 * violation is a shortest one.
 */
import {type Exploration, type Model, type Violation} from './types.js';

type Node<State, Action> = {
	readonly state: State;
	readonly parent: Node<State, Action> | undefined;
	readonly action: Action | undefined;
};

const traceOf = <State, Action>(node: Node<State, Action>): readonly Action[] => {
	const trace: Action[] = [];
	for (let current: Node<State, Action> | undefined = node; current; current = current.parent) {
		if (current.action !== undefined) {
			trace.push(current.action);
		}
	}

	return trace.toReversed();
};

const violationOf = <State, Action>(model: Model<State, Action>, node: Node<State, Action>): Violation<Action> | undefined => {
	const message = model.findViolation(node.state);
	return message === undefined ? undefined : {message, trace: traceOf(node)};
};

/**
 * Explores the states of a model and stops at the first violation.
 *
 * @example
 * const {states, violation} = explore(model, 10);
 */
export const explore = <State, Action>(model: Model<State, Action>, maxDepth: number): Exploration<Action> => {
	const seenKeys = new Set([model.key(model.initial)]);
	let frontier: ReadonlyArray<Node<State, Action>> = [{state: model.initial, parent: undefined, action: undefined}];
	let transitions = 0;
	let depth = 0;

	for (; depth < maxDepth && frontier.length > 0; depth++) {
		const next: Array<Node<State, Action>> = [];
		for (const parent of frontier) {
			for (const action of model.actions(parent.state)) {
				transitions++;
				const node = {state: model.apply(parent.state, action), parent, action};
				const key = model.key(node.state);
				if (seenKeys.has(key)) {
					continue;
				}

				seenKeys.add(key);
				const violation = violationOf(model, node);
				if (violation) {
					return {
						states: seenKeys.size, transitions, depth: depth + 1, violation,
					};
				}

				next.push(node);
			}
		}

		frontier = next;
	}

	return {
		states: seenKeys.size, transitions, depth, violation: undefined,
	};
};
