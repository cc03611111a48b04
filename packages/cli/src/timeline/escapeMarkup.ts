/** Escaping of text for HTML and SVG. */

const entities: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

/** Replaces the characters that have a meaning in markup by entities. */
export const escapeMarkup = (text: string): string =>
  text.replace(/[&<>"']/g, (character) => entities[character] ?? character);
