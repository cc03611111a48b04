/** Text safe inside HTML and SVG. */

const entities: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

/** Escapes the characters that markup gives a meaning. */
export const escapeMarkup = (text: string): string =>
  text.replace(/[&<>"']/g, (character) => entities[character] ?? character);
