/** A state machine whose sequences of actions are explored, and the invariants that its states must satisfy. */

export type Model<State, Action> = {
	readonly initial: State;
	/** Returns the actions that are possible in a state. */
	readonly actions: (state: State) => readonly Action[];
	readonly apply: (state: State, action: Action) => State;
	/** Describes the invariant that a state violates; undefined when it violates none. */
	readonly findViolation: (state: State) => string | undefined;
	/** Returns a key that is equal only for states with the same future behaviour. */
	readonly key: (state: State) => string;
};

export type Violation<Action> = {
	readonly message: string;
	/** A shortest sequence of actions that leads to the violation. */
	readonly trace: readonly Action[];
};

export type Exploration<Action> = {
	/** Number of distinct states reached, including the initial one. */
	readonly states: number;
	/** Number of actions applied. */
	readonly transitions: number;
	/** Length in actions of the longest sequences explored. */
	readonly depth: number;
	readonly violation: Violation<Action> | undefined;
};
